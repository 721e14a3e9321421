import { z } from "zod";
import { Unit } from "../shards/unit.ts";

/**
 * Parameters of `dispatch.renew`: dispatch terms, upstream states and limit
 * demands of one router.
 */
export const RenewParams = z.looseObject({
  vm: z.string(),
  incarnation: z.string(),
  failureDomain: z.string(),
  /** Increases with each report of this process; older reports are ignored. */
  seq: z.int().positive(),
  /** `seq` of the report whose answer was applied last; 0 for none. */
  answeredSeq: z.int().nonnegative(),
  /** Epoch of the coordinator that last answered this router; 0 for none. */
  coordinatorEpoch: z.int().nonnegative(),
  /** Revision of the assignment row that the router has, by service. */
  rows: z.record(z.string(), z.int().nonnegative()),
  /** The router is stopping and wants to hand over its dispatch terms. */
  leaving: z.boolean(),
  /** Dispatch terms that the router holds now. */
  tenures: z.array(z.object({
    service: z.string(),
    upstream: z.string(),
    epoch: z.int().positive(),
  })),
  /**
   * Units that the router no longer accepts and has no request in flight for.
   * `readyInMs` is how long the upstream may still hold a grant for them, in
   * milliseconds.
   */
  released: z.array(z.object({
    service: z.string(),
    upstream: z.string(),
    unit: Unit,
    readyInMs: z.number().nonnegative(),
  })),
  /**
   * Dispatch terms that have ended with no request in flight, so that another
   * dispatcher can be assigned. `readyInMs` is how long the upstream may still
   * run requests that were abandoned, in milliseconds; earlier versions of this
   * program do not report it.
   */
  ended: z.array(z.object({
    service: z.string(),
    upstream: z.string(),
    epoch: z.int().positive(),
    readyInMs: z.number().nonnegative().optional(),
  })),
  upstreams: z.array(z.object({
    service: z.string(),
    upstream: z.string(),
    state: z.enum(["cold", "warm", "draining", "lost"]),
    inFlight: z.int().nonnegative(),
    queued: z.int().nonnegative(),
    /** Moving median of the service time in milliseconds; 0 if unknown. */
    serviceMs: z.number().nonnegative(),
    /** Requests started per second, averaged over some seconds. */
    ratePerS: z.number().nonnegative(),
  })),
  hotKeys: z.array(z.object({
    service: z.string(),
    digest: z.string(),
    upstream: z.string(),
    ratePerS: z.number().nonnegative(),
  })),
  limits: z.array(z.object({
    entry: z.string(),
    /** Requests per second that arrived, admitted or not. */
    demandPerS: z.number().nonnegative(),
    /** Requests in flight and requests waiting for a share. */
    demandConcurrency: z.int().nonnegative(),
    heldRatePerS: z.number().nonnegative(),
    heldConcurrency: z.int().nonnegative(),
  })),
});
export type RenewParams = z.infer<typeof RenewParams>;
