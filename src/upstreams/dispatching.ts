import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";

/**
 * Sends requests through the dispatcher of an upstream, on this router or on
 * another one (a peer hop).
 */
export interface Dispatching {
  /**
   * Makes one attempt to have the upstream serve a request.
   *
   * @param req - the request; a stream body is consumed if the outcome is a
   * response or `outcome_unknown`, and may have been read from before a
   * refusal, in which case its `readableDidRead` is true
   * @param signal - aborts when the caller disconnects, which cancels the
   * attempt
   * @returns the response, or a refusal whose outcome says whether the upstream
   * may have started the request
   */
  dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome>;
}
