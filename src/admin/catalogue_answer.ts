import { z } from "zod";

/** A catalogue version with its document. */
export const CatalogueAnswer = z.object({
  version: z.int().positive(),
  author: z.string(),
  at: z.string(),
  /**
   * `router` if the store could not be read and the version in force on the
   * router is shown instead.
   */
  source: z.enum(["store", "router"]),
  /** Validated by the reader; may contain fields that a newer router added. */
  document: z.record(z.string(), z.unknown()),
});
export type CatalogueAnswer = z.infer<typeof CatalogueAnswer>;
