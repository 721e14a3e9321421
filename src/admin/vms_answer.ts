import { z } from "zod";

/** Every known VM. */
export const VmsAnswer = z.object({
  /** Whether the VM list could be read; without it the answer is incomplete. */
  vmListRead: z.boolean(),
  vms: z.array(z.object({
    id: z.string(),
    kind: z.enum(["entry", "upstream"]),
    region: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    service: z.string().nullable(),
    /** `unlisted` for a router that is not in the VM list. */
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
