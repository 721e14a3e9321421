import { z } from "zod";

/** One row; a null value means that it was deleted at that revision. */
export const TableRow = z.object({
  key: z.string(),
  revision: z.int().nonnegative(),
  value: z.unknown(),
});
export type TableRow = z.infer<typeof TableRow>;
