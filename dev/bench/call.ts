import { type Dispatcher, request } from "undici";
import { systemClock } from "../../src/base/system_clock.ts";
import type { CallResult } from "./call_result.ts";

const STATUS_OK = 200;
const CALL_TIMEOUT_MS = 12_000;

/**
 * Sends one request to a router and checks that the response echoes the id and
 * the body of this request.
 *
 * @param call - dispatcher that holds the connections, base URL of the router,
 * entry, key, unique id, the body (by default id and key), and the timeout in
 * milliseconds
 * @returns the result; without a complete response its status is 0 and its code
 * the error
 */
export async function call(call: {
  dispatcher: Dispatcher;
  url: string;
  entry: string;
  key: string;
  id: string;
  body?: string;
  timeoutMs?: number;
}): Promise<CallResult> {
  const body = call.body ?? `${call.id} ${call.key}`;
  const startedAt = systemClock.now();
  const result: CallResult = {
    id: call.id,
    url: call.url,
    entry: call.entry,
    key: call.key,
    startedAt,
    endedAt: startedAt,
    status: 0,
    code: "",
    outcome: "",
    mismatched: false,
    servedBy: "",
    serviceMs: 0,
  };
  try {
    const res = await request(`${call.url}/${call.entry}/work`, {
      dispatcher: call.dispatcher,
      method: "POST",
      headers: { "x-test-key": call.key, "x-test-id": call.id },
      body,
      signal: AbortSignal.timeout(call.timeoutMs ?? CALL_TIMEOUT_MS),
    });
    const text = await res.body.text();
    result.status = res.statusCode;
    result.servedBy = String(res.headers["x-served-by"] ?? "");
    result.serviceMs = Number(res.headers["x-service-ms"] ?? 0);
    if (res.statusCode === STATUS_OK) {
      result.mismatched = text !== body || res.headers["x-test-id"] !== call.id;
    } else {
      result.outcome = String(res.headers["fescuerun-outcome"] ?? "");
      result.code = (JSON.parse(text) as { code?: string }).code ?? "";
    }
  } catch (err) {
    result.code = (err as { code?: string }).code ?? String(err);
  }
  result.endedAt = systemClock.now();
  return result;
}
