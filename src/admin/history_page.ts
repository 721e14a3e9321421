import { z } from "zod";

/** Catalogue versions without documents, newest first. */
export const HistoryPage = z.object({
  versions: z.array(z.looseObject({
    version: z.int().positive(),
    author: z.string(),
    at: z.string(),
  })),
  /** Sent as `before` to get the next page; null after version 1. */
  next: z.int().positive().nullable(),
});
export type HistoryPage = z.infer<typeof HistoryPage>;
