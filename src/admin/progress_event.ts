import { z } from "zod";
import { AcceptanceEvent } from "../catalogue/acceptance_event.ts";

/** One line of the answer to a change. */
export const ProgressEvent = z.discriminatedUnion("kind", [
  /** The catalogue already was as asked; its present version is waited for. */
  z.object({ kind: z.literal("unchanged"), version: z.int().positive() }),
  ...AcceptanceEvent.options,
]);
export type ProgressEvent = z.infer<typeof ProgressEvent>;
