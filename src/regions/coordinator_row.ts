import { z } from "zod";

/** Row `coordinators/<region>` of the table service: the coordinator lease. */
export const CoordinatorRow = z.looseObject({
  schema: z.literal(1),
  region: z.string(),
  vm: z.string(),
  incarnation: z.string(),
  peerUrl: z.string(),
  /** Grows with each takeover; fences writes of earlier holders. */
  epoch: z.int().positive(),
  /** Grows with each renewal. */
  beat: z.int().nonnegative(),
  witnesses: z.array(z.string()),
});
export type CoordinatorRow = z.infer<typeof CoordinatorRow>;
