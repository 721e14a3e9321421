import { z } from "zod";
import { TableChanges } from "./table_changes.ts";

/** A VM asks another one of its region what has changed in the store. */
export const ChangesQuery = {
  method: "rows.changes",
  params: z.object({
    /** Version of each table up to which the asking VM knows its changes. */
    known: z.record(z.string(), z.number()),
  }),
  result: z.object({
    /** Changes of the tables that the called VM knows to be up to date. */
    changes: z.record(z.string(), TableChanges),
  }),
};
