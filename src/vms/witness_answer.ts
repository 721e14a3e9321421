import { z } from "zod";

/**
 * Answer to `witness.ask`, see the design page, section 7. `unreachable`
 * carries a promise; `refused` means that the witness reaches the table service
 * or has not read it since its registration.
 */
export const WitnessAnswer = z.discriminatedUnion("kind", [
  z.looseObject({
    kind: z.literal("unreachable"),
    /** How long the witness promises not to act on the table service. */
    promiseMs: z.number().positive(),
    incarnation: z.string(),
    catalogueVersion: z.int().nonnegative(),
    /** Highest coordinator epoch of the region that the witness knows. */
    coordinatorEpoch: z.int().nonnegative(),
    /** Revision of each assignment row, by row key. */
    revisions: z.record(z.string(), z.int().nonnegative()),
  }),
  z.looseObject({
    kind: z.literal("refused"),
    incarnation: z.string(),
    catalogueVersion: z.int().nonnegative(),
    /** Highest coordinator epoch of the region that the witness knows. */
    coordinatorEpoch: z.int().nonnegative(),
  }),
]);
export type WitnessAnswer = z.infer<typeof WitnessAnswer>;
