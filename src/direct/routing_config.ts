import { z } from "zod";
import { Route } from "./route.ts";
import { ServicePolicy } from "./service_policy.ts";
import { Tenant } from "../tenants/tenant.ts";

/** One version of the configuration that operators write. */
export const RoutingConfig = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(Route),
  /**
   * Routes that cannot be used. Their requests are refused and must not fall to
   * a route with a shorter prefix.
   */
  unusableRoutes: z.array(Route.pick({ host: true, prefix: true })),
  services: z.array(ServicePolicy),
  /** Undefined if requests need no API key. */
  tenants: z.array(Tenant).optional(),
  requests: z.object({
    maxHeaderBytes: z.number().int().positive(),
    maxBodyBytes: z.number().int().positive(),
    headersTimeoutMs: z.number().positive(),
    /** How long a caller's connection may stay idle. */
    idleTimeoutMs: z.number().positive(),
  }),
});
export type RoutingConfig = z.infer<typeof RoutingConfig>;
