import { z } from "zod";

/** A row of a versioned table. */
export const Row = z.object({
  table: z.string(),
  key: z.string(),
  value: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  /** Position of the last change in the store's only counter. */
  version: z.number(),
});
export type Row = z.infer<typeof Row>;
