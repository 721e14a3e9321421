import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";

/**
 * Sends requests through the dispatcher of an upstream, on this router or over
 * a peer hop.
 */
export interface Dispatching {
  /**
   * Makes one attempt.
   *
   * @param req - the request; a stream body is consumed only if the outcome is
   * a response or `outcome_unknown`, or when `req.body` was read from before a
   * refusal, which `bodyTaken` of the stream (`readableDidRead`) shows
   * @param signal - the caller went away; the attempt is cancelled
   * @returns the response, or a refusal whose outcome says whether the upstream
   * may have started the request
   */
  dispatch(
    req: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchOutcome>;
}
