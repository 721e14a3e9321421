import type { CatalogueDocument } from "./catalogue_document.ts";

/** A change that an operator asks for. */
export type CatalogueEdit = {
  /** The whole new document. */
  document: CatalogueDocument;
  /** Version that the change is based on; 0 when there is no catalogue. */
  expectedVersion: number;
  /** Credential name of the operator. */
  author: string;
  /** What the operator did, for the audit trail, e.g. `domain.out`. */
  action: string;
  /**
   * Only `out` differs from the stored document. The rules across entries are
   * then not checked again, so that a document which an earlier release
   * accepted cannot prevent taking a failure domain out.
   */
  outOnly?: true;
  /** Further data for the audit trail; never a key. */
  details: Record<string, unknown>;
};
