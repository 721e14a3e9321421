import { z } from "zod";
import { AuditRow } from "./audit_row.ts";

/** A part of the audit trail, newest first. */
export const AuditPage = z.object({
  rows: z.array(z.object({
    key: z.string(),
    /** Null for a row of a schema that the router does not know. */
    row: AuditRow.nullable(),
  })),
  /** Rows before this time were not searched; `before` of the next page. */
  searchedBackTo: z.string(),
});
export type AuditPage = z.infer<typeof AuditPage>;
