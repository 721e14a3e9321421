import { z } from "zod";

/** Catalogue versions without documents, newest first. */
export const HistoryPage = z.object({
  versions: z.array(z.looseObject({
    version: z.int().positive(),
    author: z.string(),
    at: z.string(),
  })),
  /** `before` of the next page; null at the first version. */
  next: z.int().positive().nullable(),
});
export type HistoryPage = z.infer<typeof HistoryPage>;
