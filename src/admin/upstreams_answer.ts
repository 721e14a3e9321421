import { z } from "zod";

/** Every known upstream, with what it owns. */
export const UpstreamsAnswer = z.object({
  /** Whether the VM list could be read; without it the answer is incomplete. */
  vmListRead: z.boolean(),
  upstreams: z.array(z.object({
    id: z.string(),
    service: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    /** `unlisted` for an upstream that is only in an assignment row. */
    state: z.enum(["live", "leaving", "unlisted"]),
    out: z.boolean(),
    shards: z.int(),
    pins: z.int(),
    dispatcher: z.string().nullable(),
    epoch: z.int().nullable(),
  })),
});
export type UpstreamsAnswer = z.infer<typeof UpstreamsAnswer>;
