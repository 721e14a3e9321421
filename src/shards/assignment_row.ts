import { z } from "zod";

/**
 * Row `assignments/<region>/<service>` of the table service, written only by
 * the region's coordinator.
 */
export const AssignmentRow = z.looseObject({
  schema: z.literal(1),
  service: z.string(),
  region: z.string(),
  /** Epoch of the coordinator that wrote the row. */
  coordinatorEpoch: z.int().nonnegative(),
  /** Lets a writer that received no answer recognise its own write. */
  writeId: z.string(),
  /** `shards` refers to upstreams by their position in this list. */
  upstreams: z.array(z.object({
    id: z.string(),
    address: z.string(),
    failureDomain: z.string(),
  })),
  /** Position of each shard's owning upstream; -1 if unassigned. */
  shards: z.array(z.int().min(-1)),
  /** The dispatcher of each upstream and the epoch of its dispatch term. */
  tenures: z.record(
    z.string(),
    z.object({ vm: z.string(), epoch: z.int().positive() }),
  ),
  /** Upstream id by digest of the pinned key. */
  pins: z.record(z.string(), z.string()),
});
export type AssignmentRow = z.infer<typeof AssignmentRow>;
