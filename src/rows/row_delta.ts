import { z } from "zod";

/** A row's new value as the difference to an earlier one. */
export const RowDelta = z.object({
  /** Version of the row to which the difference applies. */
  base: z.number().int(),
  /** Base64 of the new text, compressed with the earlier text as dictionary. */
  data: z.string(),
});
export type RowDelta = z.infer<typeof RowDelta>;
