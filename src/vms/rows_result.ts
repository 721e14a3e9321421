import { z } from "zod";
import { TableRow } from "../contracts/table_row.ts";

/** Answer to `rows.get`: the requested rows that the called router knows. */
export const RowsResult = z.looseObject({ rows: z.array(TableRow) });
export type RowsResult = z.infer<typeof RowsResult>;
