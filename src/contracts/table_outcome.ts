import { z } from "zod";
import { TableRow } from "./table_row.ts";

/** Answer of the table service to a transaction. */
export const TableOutcome = z.discriminatedUnion("committed", [
  z.object({ committed: z.literal(true), revision: z.int().positive() }),
  z.object({ committed: z.literal(false), conflicts: z.array(TableRow) }),
]);
export type TableOutcome = z.infer<typeof TableOutcome>;
