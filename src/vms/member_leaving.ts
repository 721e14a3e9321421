import { z } from "zod";

/** Parameters of `member.leaving`, sent by a stopping router to all members. */
export const MemberLeaving = z.looseObject({
  vm: z.string(),
  incarnation: z.string(),
  /** The newest catalogue version that the router may have confirmed. */
  catalogueVersion: z.int().nonnegative(),
  /** Highest coordinator epoch of its region that the router knew. */
  coordinatorEpoch: z.int().nonnegative(),
});
export type MemberLeaving = z.infer<typeof MemberLeaving>;
