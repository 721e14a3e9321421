import { z } from "zod";

const Version = z.int().positive();
const Ms = z.number().nonnegative();

/** Progress of a committed catalogue version towards being in force. */
export const AcceptanceEvent = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("committed"), version: Version }),
  z.object({
    kind: z.literal("waiting"),
    version: Version,
    /**
     * Routers that have not confirmed the version; undefined until the member
     * rows have been read.
     */
    vms: z.array(z.string()).optional(),
    elapsedMs: Ms,
  }),
  z.object({
    kind: z.literal("accepted"),
    version: Version,
    /** Routers that did not confirm but provably serve no older version. */
    notServing: z.array(z.string()),
    elapsedMs: Ms,
  }),
  z.object({
    kind: z.literal("committed_not_yet_in_force"),
    version: Version,
    vms: z.array(z.string()).optional(),
    elapsedMs: Ms,
  }),
]);
export type AcceptanceEvent = z.infer<typeof AcceptanceEvent>;
