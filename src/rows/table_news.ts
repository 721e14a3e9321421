import { z } from "zod";

/** What one VM tells another of the changes of a table. */
export const TableNews = z.object({
  /** All changes up to this version are among those told or known. */
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
export type TableNews = z.infer<typeof TableNews>;
