import { z } from "zod";
import { RowDelta } from "./row_delta.ts";

/** Changes of a table, as sent by a relay. */
export const TableChanges = z.object({
  /** With these changes, the receiver knows all changes up to this version. */
  version: z.number().int(),
  /** Era of the store to which the versions belong. */
  era: z.number().int().nonnegative().optional(),
  /**
   * Milliseconds since the store confirmed that they are complete. Relays of
   * earlier releases do not report it; they answer up to this age.
   */
  ageMs: z.number().nonnegative().default(1600),
  /** The last change of each row, in ascending order of versions. */
  changes: z.array(z.object({
    key: z.string(),
    version: z.number().int(),
    /** Base64 of the row's value. */
    value: z.string().optional(),
    /** Sent in place of the value. Without both, the row was removed. */
    delta: RowDelta.optional(),
  })),
  /**
   * Milliseconds since the store answered again after an outage; absent without
   * a recent outage.
   */
  regainedMs: z.number().nonnegative().optional(),
});
export type TableChanges = z.infer<typeof TableChanges>;
