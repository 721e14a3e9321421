import { z } from "zod";

/** A row of a versioned table. */
export const Row = z.object({
  table: z.string(),
  key: z.string(),
  value: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  /** Value of the store-wide version counter at the row's last change. */
  version: z.number(),
});
export type Row = z.infer<typeof Row>;
