import { z } from "zod";
import { CatalogueDocument } from "./catalogue_document.ts";

/** Rows `catalogue/current` and `catalogue/history/<version>`. */
export const CatalogueRow = z.looseObject({
  schema: z.literal(1),
  version: z.int().positive(),
  author: z.string(),
  /** Wall-clock time of the writer, ISO 8601, for people only. */
  at: z.string(),
  writeId: z.string(),
  document: CatalogueDocument,
});
export type CatalogueRow = z.infer<typeof CatalogueRow>;
