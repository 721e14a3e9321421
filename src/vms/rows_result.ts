import { z } from "zod";
import { TableRow } from "../contracts/table_row.ts";

/** Answer to `rows.get`: the known rows among the requested keys. */
export const RowsResult = z.looseObject({ rows: z.array(TableRow) });
export type RowsResult = z.infer<typeof RowsResult>;
