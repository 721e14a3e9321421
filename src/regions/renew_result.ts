import { z } from "zod";
import { AssignmentRow } from "../shards/assignment_row.ts";
import { Unit } from "../shards/unit.ts";

/** Answer to `dispatch.renew`. */
export const RenewResult = z.discriminatedUnion("kind", [
  z.looseObject({
    kind: z.literal("granted"),
    coordinatorEpoch: z.int().positive(),
    /**
     * TTL of the lease in milliseconds; starts when the router sent its report.
     */
    ttlMs: z.number().positive(),
    /** Every dispatch term that the router holds from now on. */
    tenures: z.array(z.object({
      service: z.string(),
      upstream: z.string(),
      address: z.string(),
      epoch: z.int().positive(),
    })),
    /** Dispatch terms to drain and then report under `ended`. */
    endTenures: z.array(z.object({
      service: z.string(),
      upstream: z.string(),
    })),
    /** Units to release; each answer lists all of them. */
    releases: z.array(z.object({
      service: z.string(),
      upstream: z.string(),
      units: z.array(Unit),
    })),
    /** Limit shares, valid until the lease expires. */
    shares: z.array(z.object({
      entry: z.string(),
      ratePerS: z.number().nonnegative(),
      concurrency: z.int().nonnegative(),
    })),
    /** Assignment rows that are newer than those the router has. */
    rows: z.array(z.object({
      revision: z.int().positive(),
      row: AssignmentRow,
    })),
  }),
  z.looseObject({
    kind: z.literal("not_coordinator"),
  }),
]);
export type RenewResult = z.infer<typeof RenewResult>;
