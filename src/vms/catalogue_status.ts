import { z } from "zod";

/** Answer to `catalogue.status`. */
export const CatalogueStatus = z.looseObject({
  vm: z.string(),
  incarnation: z.string(),
  /** Version in force; 0 before the first. */
  version: z.int().nonnegative(),
  mode: z.enum(["starting", "current", "outage", "cut_off"]),
});
export type CatalogueStatus = z.infer<typeof CatalogueStatus>;
