import type { CallerCall } from "./caller_call.ts";
import type { UpstreamAnswer } from "./upstream_answer.ts";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** The headers that callers, routers and upstreams have agreed on. */
export interface WireProtocol {
  /**
   * @param headers - headers of a caller's request, by lower-case name
   * @returns what they say; undefined for what is missing or malformed
   */
  readCall(
    headers: Headers,
  ): Partial<Pick<CallerCall, "requestId" | "deadlineMs" | "key">>;

  /**
   * @param call - the caller's request
   * @param upstreamId - the upstream that is to run it
   * @param remainingMs - how long the caller still waits
   * @returns all headers of the request to the upstream
   */
  upstreamHeaders(
    call: CallerCall,
    upstreamId: string,
    remainingMs: number,
  ): Record<string, string | string[]>;

  /**
   * @param call - the caller's request
   * @param upstreamId - the upstream that was to run it
   * @param status - status of the upstream's answer
   * @param headers - its headers, by lower-case name
   * @returns what they say
   */
  readAnswer(
    call: CallerCall,
    upstreamId: string,
    status: number,
    headers: Headers,
  ): UpstreamAnswer;

  /**
   * @param headers - headers of an upstream's answer
   * @returns those for the caller
   */
  callerHeaders(headers: Headers): Record<string, string | string[]>;

  /**
   * @param requestId - id of the refused request, if it could be read
   * @param retryAfterMs - when the caller may return, in milliseconds
   * @returns headers of the router's own answer
   */
  refusalHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): Record<string, string>;
}
