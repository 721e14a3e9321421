import { z } from "zod";

/** How far an attempt got before it failed (design page, section 10). */
export const FailurePoint = z.enum([
  /** No dispatcher is known for the upstream. */
  "no_dispatcher",
  /** Connecting failed or timed out, or was not attempted. */
  "not_connected",
  /** The dispatcher refused, e.g. with `not_owner` or `draining`. */
  "refused_by_dispatcher",
  /** The upstream's queue at its dispatcher is full. */
  "queue_full",
  /** The upstream responded with `fescuerun-not-run`. */
  "refused_by_upstream",
  /** Connected, but no byte was written to the socket. */
  "nothing_sent",
  /** At least one byte was sent and no response arrived. */
  "sent_no_answer",
  /** The response began but is incomplete. */
  "partial_answer",
  "deadline_before_send",
  "deadline_after_send",
  /** A refusal that a retry cannot change. */
  "refused_for_good",
]);
export type FailurePoint = z.infer<typeof FailurePoint>;
