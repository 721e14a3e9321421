import { z } from "zod";

/** A catalogue version with its document. */
export const CatalogueAnswer = z.object({
  version: z.int().positive(),
  author: z.string(),
  at: z.string(),
  /** `router` when the store could not be read: what this router knows. */
  source: z.enum(["store", "router"]),
  /** Checked by whoever uses it; may hold fields of a newer router. */
  document: z.record(z.string(), z.unknown()),
});
export type CatalogueAnswer = z.infer<typeof CatalogueAnswer>;
