import { z } from "zod";
import { KeyRange } from "./key_range.ts";

/** Row with the owners of all keys of one service, in ascending order. */
export const RangeDocument = z.object({
  schema: z.literal(1),
  /** Larger than every fencing token that was ever used. */
  nextFence: z.number().int().positive(),
  ranges: z.array(KeyRange),
});
export type RangeDocument = z.infer<typeof RangeDocument>;
