import { z } from "zod";
import { readStoredDocument } from "./read_stored_document.ts";

/**
 * Rows `catalogue/current` and `catalogue/history/<version>`. Unknown fields of
 * the row and of its document are kept.
 */
export const CatalogueRow = z.looseObject({
  schema: z.literal(1),
  version: z.int().positive(),
  author: z.string(),
  /** Wall-clock time of the writer, ISO 8601; shown to operators only. */
  at: z.string(),
  /** Random; identifies the write when its answer was lost. */
  writeId: z.string(),
  document: z.unknown().transform((value, ctx) => {
    const read = readStoredDocument(value);
    if (read.success) return read.data;
    for (const issue of read.error.issues) {
      ctx.addIssue({
        code: "custom",
        path: issue.path,
        message: issue.message,
      });
    }
    return z.NEVER;
  }),
});
export type CatalogueRow = z.infer<typeof CatalogueRow>;
