import { z } from "zod";

/** Every known failure domain. */
export const DomainsAnswer = z.object({
  /** Whether the VM list could be read; without it the answer is incomplete. */
  vmListRead: z.boolean(),
  domains: z.array(z.object({
    name: z.string(),
    region: z.string(),
    out: z.boolean(),
    entryVms: z.int(),
    upstreamVms: z.int(),
  })),
});
export type DomainsAnswer = z.infer<typeof DomainsAnswer>;
