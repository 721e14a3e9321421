import { z } from "zod";

/** Faults and states of an upstream stand-in. */
export const UpstreamFaults = z.object({
  /** Multiplies the service time, and again the time that a slot is held. */
  slowFactor: z.number().positive().default(1),
  draining: z.boolean().default(false),
  /** Refuses every request as not run, without running it. */
  shedding: z.boolean().default(false),
  /** Truncates answers: closes the connection after half of the body. */
  truncating: z.boolean().default(false),
  /**
   * Never answers on connections that are open now; new connections work.
   */
  silenceOpenConnections: z.boolean().default(false),
  /** Restarts into cold start now, without announcing it beforehand. */
  restartCold: z.boolean().default(false),
});
export type UpstreamFaults = z.infer<typeof UpstreamFaults>;
