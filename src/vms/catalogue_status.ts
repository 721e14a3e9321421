import { z } from "zod";
import { StoreMode } from "./store_mode.ts";

/** Answer to `catalogue.status`. */
export const CatalogueStatus = z.looseObject({
  vm: z.string(),
  incarnation: z.string(),
  /** Catalogue version in force; 0 before the first. */
  version: z.int().nonnegative(),
  mode: StoreMode,
});
export type CatalogueStatus = z.infer<typeof CatalogueStatus>;
