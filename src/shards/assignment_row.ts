import { z } from "zod";

/**
 * Row `assignments/<region>/<service>` of the table service. Only the region's
 * coordinator writes it.
 */
export const AssignmentRow = z.looseObject({
  schema: z.literal(1),
  service: z.string(),
  region: z.string(),
  /** Epoch of the coordinator that wrote the row. */
  coordinatorEpoch: z.int().nonnegative(),
  /** Lets a writer whose answer was lost recognise its own write. */
  writeId: z.string(),
  /** Upstreams by position; `shards` refers to these positions. */
  upstreams: z.array(z.object({
    id: z.string(),
    address: z.string(),
    failureDomain: z.string(),
  })),
  /** Position of the owning upstream by shard; -1 is unassigned. */
  shards: z.array(z.int().min(-1)),
  /** The dispatcher of each upstream and the epoch of its dispatch term. */
  tenures: z.record(
    z.string(),
    z.object({ vm: z.string(), epoch: z.int().positive() }),
  ),
  /** Upstream id of each pinned key digest. */
  pins: z.record(z.string(), z.string()),
});
export type AssignmentRow = z.infer<typeof AssignmentRow>;
