import { z } from "zod";

/** Writes that take effect together, and only if every condition holds. */
export const TableTransaction = z.object({
  /** Required revision of each named row; 0 means that the row is absent. */
  conditions: z.array(z.object({
    key: z.string().min(1),
    revision: z.int().nonnegative(),
  })),
  /** A null value deletes the row. */
  writes: z.array(z.object({ key: z.string().min(1), value: z.unknown() })),
});
export type TableTransaction = z.infer<typeof TableTransaction>;
