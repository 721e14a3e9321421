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
  /** Incarnation of each witness; only that process may take over. */
  witnessIncarnations: z.record(z.string(), z.string()).optional(),
  /** Tells the holder which of its attempts took effect. */
  writeId: z.string().optional(),
  /** The holder has stopped; nobody needs to wait for the TTL. */
  released: z.boolean().optional(),
});
export type CoordinatorRow = z.infer<typeof CoordinatorRow>;
