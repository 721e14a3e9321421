import { z } from "zod";

const MAX_NAME_LENGTH = 200;

/** What operators configure for the upstreams of one service. */
export const ServicePolicy = z.object({
  name: z.string().min(1).max(MAX_NAME_LENGTH),
  healthPath: z.string(),
  /** Connections that an upstream accepts from all VMs together. */
  maxConnections: z.number().int().positive(),
  /** How long an upstream stays cold after its start. */
  warmUpMs: z.number().nonnegative(),
  /**
   * Requests per second that a cold upstream accepts, from all VMs together.
   */
  warmUpPerS: z.number().nonnegative(),
  /** Whether each key is owned by one upstream at a time. */
  keyed: z.boolean(),
});
export type ServicePolicy = z.infer<typeof ServicePolicy>;
