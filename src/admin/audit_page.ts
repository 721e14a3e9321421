import { z } from "zod";
import { AuditRow } from "./audit_row.ts";

/** Page of the audit trail, newest row first. */
export const AuditPage = z.object({
  rows: z.array(z.object({
    key: z.string(),
    /** Null if the router does not know the schema of the row. */
    row: AuditRow.nullable(),
  })),
  /**
   * Rows before this time were not searched. Sent as `before` to get the next
   * page.
   */
  searchedBackTo: z.string(),
});
export type AuditPage = z.infer<typeof AuditPage>;
