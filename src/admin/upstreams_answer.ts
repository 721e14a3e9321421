import { z } from "zod";

/** Every known upstream, with what it owns. */
export const UpstreamsAnswer = z.object({
  vmListRead: z.boolean(),
  upstreams: z.array(z.object({
    id: z.string(),
    service: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    /** `unlisted` for an upstream that only an assignment names. */
    state: z.enum(["live", "leaving", "unlisted"]),
    out: z.boolean(),
    shards: z.int(),
    pins: z.int(),
    dispatcher: z.string().nullable(),
    epoch: z.int().nullable(),
  })),
});
export type UpstreamsAnswer = z.infer<typeof UpstreamsAnswer>;
