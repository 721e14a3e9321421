import { z } from "zod";

/** Owner of one key, as this router knows it. */
export const AssignmentAnswer = z.object({
  service: z.string(),
  /** Digest of the key; the key itself is not in the answer. */
  digest: z.string(),
  shard: z.int(),
  pinned: z.boolean(),
  region: z.string(),
  /** Null while the shard is unassigned, or the router knows no row for it. */
  upstream: z.string().nullable(),
  address: z.string().nullable(),
  dispatcher: z.string().nullable(),
  epoch: z.int().nullable(),
  /** Revision of the assignment row. */
  rowRevision: z.int().nullable(),
  catalogueVersion: z.int(),
});
export type AssignmentAnswer = z.infer<typeof AssignmentAnswer>;
