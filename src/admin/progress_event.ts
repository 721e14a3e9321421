import { z } from "zod";
import { AcceptanceEvent } from "../catalogue/acceptance_event.ts";

/** One line of the streamed answer to a change. */
export const ProgressEvent = z.discriminatedUnion("kind", [
  /**
   * The catalogue was already as requested; waits until its current version is
   * in force.
   */
  z.object({ kind: z.literal("unchanged"), version: z.int().positive() }),
  ...AcceptanceEvent.options,
]);
export type ProgressEvent = z.infer<typeof ProgressEvent>;
