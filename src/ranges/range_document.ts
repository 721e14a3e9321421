import { z } from "zod";
import { KeyRange } from "./key_range.ts";

/** Value of the row that holds the owners of one service's keys. */
export const RangeDocument = z.object({
  schema: z.literal(1),
  /** Larger than every fencing token used so far. */
  nextFence: z.number().int().positive(),
  /**
   * Era of the store for which the row was written; absent in era 0. A row read
   * in a later era comes from an older copy: later tokens may be in use.
   */
  era: z.number().int().nonnegative().optional(),
  /** In ascending order of keys. */
  ranges: z.array(KeyRange),
});
export type RangeDocument = z.infer<typeof RangeDocument>;
