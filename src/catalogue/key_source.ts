import { z } from "zod";

/** Where a request carries its key. */
export const KeySource = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("header"), name: z.string().min(1) }),
  /** Path segment, counted from 0, e.g. 1 for `K` in `/bookings/K`. */
  z.strictObject({
    kind: z.literal("path"),
    segment: z.int().min(0).max(15),
  }),
  z.strictObject({ kind: z.literal("query"), name: z.string().min(1) }),
  /** The service is not sharded by key: any upstream may serve a request. */
  z.strictObject({ kind: z.literal("none") }),
]);
export type KeySource = z.infer<typeof KeySource>;
