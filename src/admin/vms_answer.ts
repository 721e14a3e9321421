import { z } from "zod";

/** Every known VM. */
export const VmsAnswer = z.object({
  vmListRead: z.boolean(),
  vms: z.array(z.object({
    id: z.string(),
    kind: z.enum(["entry", "upstream"]),
    region: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    service: z.string().nullable(),
    /** `unlisted` for a router that the VM list does not name. */
    state: z.enum(["live", "leaving", "unlisted"]),
    /** Whether the VM is a registered router. */
    member: z.boolean(),
    /** Whether the VM itself is out. */
    out: z.boolean(),
    /** Whether its failure domain is out. */
    domainOut: z.boolean(),
  })),
});
export type VmsAnswer = z.infer<typeof VmsAnswer>;
