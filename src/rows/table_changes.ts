import { z } from "zod";

/** Changes of a table, as a relay sends them. */
export const TableChanges = z.object({
  /** All changes up to this version are among these or were known before. */
  version: z.number().int(),
  /** The last change of each row, in ascending order of versions. */
  changes: z.array(z.object({
    key: z.string(),
    version: z.number().int(),
    /** Base64 of the row's value; absent if the row was removed. */
    value: z.string().optional(),
  })),
  /** Milliseconds since the store answered again; absent without an outage. */
  regainedMs: z.number().nonnegative().optional(),
});
export type TableChanges = z.infer<typeof TableChanges>;
