import { z } from "zod";
import { KeySource } from "./key_source.ts";
import { Name } from "./name.ts";

const MAX_BODY_BYTES = 1024 * 1024 * 1024;
const MAX_REQUEST_MS = 600_000;

/** An entry of the catalogue: which requests it matches, and their rules. */
export const Entry = z.strictObject({
  /** The client account that the entry belongs to. */
  owner: Name,
  /** Interactive requests leave an upstream's queue before batch requests. */
  class: z.enum(["interactive", "batch"]),
  service: Name,
  match: z.strictObject({
    pathPrefix: z.string().startsWith("/"),
    host: z.string().min(1).optional(),
  }),
  keySource: KeySource,
  homeRegions: z.array(Name).min(1),
  idempotent: z.boolean(),
  checksGrants: z.boolean(),
  limits: z.strictObject({
    /** Requests per second, summed over all routers. */
    ratePerS: z.number().positive(),
    /** Requests in flight, summed over all routers. */
    concurrency: z.int().positive(),
    maxBodyBytes: z.int().nonnegative().max(MAX_BODY_BYTES)
      .default(1024 * 1024),
    /** Longest time from arrival to the end of the answer. */
    maxRequestMs: z.int().positive().max(MAX_REQUEST_MS).default(8000),
  }),
});
export type Entry = z.infer<typeof Entry>;
