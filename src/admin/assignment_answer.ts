import { z } from "zod";

/** Owner of one key, as this router knows it. */
export const AssignmentAnswer = z.object({
  service: z.string(),
  /** Stands for the key, which is not repeated. */
  digest: z.string(),
  shard: z.int(),
  pinned: z.boolean(),
  region: z.string(),
  /** Null while the shard is not assigned, or no row is known. */
  upstream: z.string().nullable(),
  address: z.string().nullable(),
  dispatcher: z.string().nullable(),
  epoch: z.int().nullable(),
  /** Revision of the assignment row. */
  rowRevision: z.int().nullable(),
  catalogueVersion: z.int(),
});
export type AssignmentAnswer = z.infer<typeof AssignmentAnswer>;
