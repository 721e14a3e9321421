import { z } from "zod";

/** Row `coordinators/<region>` of the table service: the coordinator lease. */
export const CoordinatorRow = z.looseObject({
  schema: z.literal(1),
  region: z.string(),
  vm: z.string(),
  incarnation: z.string(),
  peerUrl: z.string(),
  /** Increases with each takeover; fences writes of former holders. */
  epoch: z.int().positive(),
  /** Increases with each renewal. */
  beat: z.int().nonnegative(),
  witnesses: z.array(z.string()),
  /**
   * Incarnation of each witness, by VM id. Only these processes may take over
   * from a holder that is still registered and listed.
   */
  witnessIncarnations: z.record(z.string(), z.string()).optional(),
  /** Identifies the write, so that the holder knows which one took effect. */
  writeId: z.string().optional(),
  /** The holder has released the lease; takeover need not wait for the TTL. */
  released: z.boolean().optional(),
});
export type CoordinatorRow = z.infer<typeof CoordinatorRow>;
