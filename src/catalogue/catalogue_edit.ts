import type { CatalogueDocument } from "./catalogue_document.ts";

/** A catalogue change that an operator requests. */
export type CatalogueEdit = {
  /** The whole new document. */
  document: CatalogueDocument;
  /** Version that the change is based on; 0 if no catalogue is stored. */
  expectedVersion: number;
  /** Credential name of the operator. */
  author: string;
  /** What the operator did, for the audit trail, e.g. `domain.out`. */
  action: string;
  /**
   * Only `out` differs from the stored document. The rules across entries are
   * then not checked again, so that a failure domain can be taken out even if
   * the stored document, accepted by an earlier release, violates them.
   */
  outOnly?: true;
  /** More fields for the audit trail; must not contain keys of requests. */
  details: Record<string, unknown>;
};
