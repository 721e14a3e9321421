import type { Refusal } from "../base/refusal.ts";
import type { DispatchOutcome } from "./dispatch_outcome.ts";

/**
 * Builds the outcome of an attempt that ended without a response.
 *
 * @param code - why the attempt was refused
 * @param outcome - whether the upstream may have started the request
 * @param message - one sentence without key, path or query
 * @param data - further details, such as the estimated wait
 * @returns the outcome
 */
export function refused(
  code: Refusal["code"],
  outcome: Refusal["outcome"],
  message: string,
  data?: Record<string, unknown>,
): DispatchOutcome {
  return {
    kind: "refused",
    refusal: data === undefined
      ? { code, outcome, message }
      : { code, outcome, message, data },
  };
}
