import { z } from "zod";
import { TableRow } from "./table_row.ts";

/** Rows changed after the requested revision, and the store's revision. */
export const TableRows = z.object({
  revision: z.int().nonnegative(),
  rows: z.array(TableRow),
});
export type TableRows = z.infer<typeof TableRows>;
