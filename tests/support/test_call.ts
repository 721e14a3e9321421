import type { CallerCall } from "../../src/direct/caller_call.ts";

/**
 * @param fields - fields that differ from a GET without key and body
 * @returns a caller's request
 */
export function testCall(fields: Partial<CallerCall> = {}): CallerCall {
  return {
    requestId: "9c41d07be2a35f68",
    method: "GET",
    target: "/a/x",
    host: "h.example",
    headers: { host: "h.example" },
    body: undefined,
    receivedAt: 0,
    deadlineMs: 5000,
    key: undefined,
    ...fields,
  };
}
