import { z } from "zod";

/** How far an attempt got before it failed, see the design page, section 10. */
export const FailurePoint = z.enum([
  /** No router is known that may send to the upstream. */
  "no_dispatcher",
  /** Connection refused or timed out, or the attempt never got that far. */
  "not_connected",
  /** The dispatcher said `not_owner`, `not_dispatcher` or `draining`. */
  "refused_by_dispatcher",
  /** The upstream's queue at its dispatcher is full. */
  "queue_full",
  /** The upstream answered with `fescuerun-not-run`. */
  "refused_by_upstream",
  /** Connected, but no byte was handed to the socket. */
  "nothing_sent",
  /** At least one byte was sent and no answer came. */
  "sent_no_answer",
  /** The answer began and did not end. */
  "partial_answer",
  "deadline_before_send",
  "deadline_after_send",
  /** A refusal that another attempt would only repeat. */
  "refused_for_good",
]);
export type FailurePoint = z.infer<typeof FailurePoint>;
