import type { CallerCall } from "./caller_call.ts";
import type { UpstreamAnswer } from "./upstream_answer.ts";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Reads and writes the headers between callers, routers and upstreams. */
export interface WireProtocol {
  /**
   * @param headers - headers of a caller's request, by lower-case name
   * @returns the fields they carry; undefined where missing or malformed
   */
  readCall(
    headers: Headers,
  ): Partial<Pick<CallerCall, "requestId" | "deadlineMs" | "key">>;

  /**
   * @param rawHeaders - names and values of a caller's request, alternating, as
   * received
   * @returns the bytes of its API key; undefined if it has none, several, or an
   * empty one
   */
  readCredential(rawHeaders: readonly string[]): Uint8Array | undefined;

  /**
   * @param call - the caller's request
   * @param upstreamId - the upstream that is to run it
   * @param remainingMs - time until the request's deadline, in milliseconds
   * @returns all headers of the request to the upstream, in the order in which
   * they are sent
   */
  upstreamHeaders(
    call: CallerCall,
    upstreamId: string,
    remainingMs: number,
  ): ReadonlyMap<string, string | string[]>;

  /**
   * @param call - the caller's request
   * @param upstreamId - the upstream that was to run it
   * @param status - status of the upstream's answer
   * @param headers - its headers, by lower-case name
   * @returns the information that status and headers carry
   */
  readAnswer(
    call: CallerCall,
    upstreamId: string,
    status: number,
    headers: Headers,
  ): UpstreamAnswer;

  /**
   * @param headers - headers of an upstream's answer
   * @returns the headers to send to the caller
   */
  callerHeaders(headers: Headers): Record<string, string | string[]>;

  /**
   * @param requestId - id of the refused request, if it could be read
   * @param retryAfterMs - time after which the caller may retry, in
   * milliseconds
   * @returns headers of the router's own answer
   */
  refusalHeaders(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): Record<string, string>;
}
