import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { httpHeaders } from "../../platform/http_headers.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import type { CallOutcome } from "../../src/direct/call_outcome.ts";
import { DirectListener } from "../../src/direct/direct_listener.ts";
import { RawCaller } from "../support/raw_caller.ts";
import { silentLogger } from "../support/silent_logger.ts";

const REQUEST = "GET /a/ HTTP/1.1\r\nHost: h\r\n" +
  "Fescuerun-Request-Id: 9c41d07be2a35f68\r\n\r\n";

function answered(fields: Partial<CallOutcome>): CallOutcome {
  return {
    kind: "answered",
    status: 200,
    headers: { "fescuerun-response-signature": "s" },
    body: Buffer.from("body"),
    framed: true,
    ...fields,
  } as CallOutcome;
}

async function sendRequest(outcome: CallOutcome, until: RegExp) {
  const listener = new DirectListener({
    clock: systemClock,
    logger: silentLogger(),
    router: { handle: () => Promise.resolve(outcome) },
    protocol: httpHeaders,
    maxBodyBytes: () => 100,
    readinessDelayMs: 0,
  });
  const port = await listener.listen("127.0.0.1:0");
  const caller = new RawCaller(port).write(REQUEST);
  const text = await caller.until(until);
  return { text, caller, listener };
}

describe("DirectListener", () => {
  it("sends a complete answer with content-length and keep-alive", async () => {
    const { text, caller, listener } = await sendRequest(answered({}), /body$/);
    assert.match(text, /^HTTP\/1.1 200 /);
    assert.match(text, /content-length: 4\r\n/i);
    caller.write(REQUEST);
    await caller.until(/body[^]*body$/);
    caller.socket.destroy();
    await listener.drain(AbortSignal.abort());
  });

  // Guards against an answer that was truncated when its upstream crashed, but
  // gets a content-length and therefore looks complete.
  it("adds no content-length to an answer without framing", async () => {
    const { text, caller, listener } = await sendRequest(
      answered({ framed: false }),
      /body$/,
    );
    assert.doesNotMatch(text, /content-length|transfer-encoding/i);
    assert.match(text, /connection: close/i);
    await caller.closed();
    await listener.drain(AbortSignal.abort());
  });

  it("sends a retry delay with a refusal", async () => {
    const { text, caller, listener } = await sendRequest({
      kind: "refused",
      refusal: { code: "overloaded", outcome: "not_run", message: "full" },
      retryAfterMs: 250,
    }, /\}$/);
    assert.match(text, /^HTTP\/1.1 503 /);
    assert.match(text, /retry-after: 0.250\r\n/i);
    assert.match(text, /fescuerun-request-id: 9c41d07be2a35f68/i);
    assert.match(text, /"next":"repeats with a growing pause"/);
    caller.socket.destroy();
    await listener.drain(AbortSignal.abort());
  });
});
