import { z } from "zod";

/** Faults and states that an upstream stand-in can be told to have. */
export const UpstreamFaults = z.object({
  /** Factor on the service time. */
  slowFactor: z.number().positive().default(1),
  draining: z.boolean().default(false),
  /** Sheds every request with a true "not run". */
  shedding: z.boolean().default(false),
  /** Answers are cut after half of the body. */
  truncating: z.boolean().default(false),
  /** Sockets that are open now never answer again; new ones work. */
  silenceOpenConnections: z.boolean().default(false),
  /** Goes back into cold start now, without a word in its health answer. */
  restartCold: z.boolean().default(false),
});
export type UpstreamFaults = z.infer<typeof UpstreamFaults>;
