import { z } from "zod";

/** Size of a deployment that is started on loopback. */
export const Preset = z.object({
  regions: z.array(z.string()).min(1),
  /** Failure domains are named `<region>-a`, `<region>-b`, … */
  domainsPerRegion: z.int().positive(),
  routersPerDomain: z.int().positive(),
  services: z.array(z.object({
    name: z.string(),
    keyed: z.boolean(),
    checksGrants: z.boolean(),
    upstreamsPerDomain: z.int().positive(),
    slots: z.int().positive(),
    connections: z.int().positive(),
    /** Mean service time in milliseconds. */
    serviceMs: z.number().nonnegative(),
  })),
});
export type Preset = z.infer<typeof Preset>;
