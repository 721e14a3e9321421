import { z } from "zod";
import { KeyRange } from "./key_range.ts";

/** Value of the row that holds the owners of one service's keys. */
export const RangeDocument = z.object({
  schema: z.literal(1),
  /** Larger than every fencing token used so far. */
  nextFence: z.number().int().positive(),
  /** In ascending order of keys. */
  ranges: z.array(KeyRange),
});
export type RangeDocument = z.infer<typeof RangeDocument>;
