import assert from "node:assert/strict";
import { test } from "node:test";
import { z } from "zod";
import { systemClock } from "../../src/base/system_clock.ts";
import { HttpPeerClient } from "../../src/vms/http_peer_client.ts";
import { RawUpstream } from "../support/raw_upstream.ts";

const BODY = JSON.stringify({ jsonrpc: "2.0", id: 1, result: 7 });
const CALL_TIMEOUT_MS = 1000;

// Guards against an answer with a status that HTTP does not have and that is
// taken for one of another VM.
for (
  const [status, valid] of [
    ["200", true],
    ["000", false],
    ["099", false],
    ["600", false],
    ["999", false],
    ["abc", false],
  ] as const
) {
  test(`an answer of a peer with status ${status}`, async () => {
    const raw = await new RawUpstream((socket) =>
      socket.end(
        `HTTP/1.1 ${status} X\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
      )
    ).listen();
    const end = new AbortController();
    const peers = new HttpPeerClient({
      credential: "c",
      clock: systemClock,
      signal: end.signal,
    });
    const answer = await peers.call({
      peerUrl: `http://127.0.0.1:${raw.port}`,
      method: "m",
      params: {},
      result: z.number(),
      timeoutMs: CALL_TIMEOUT_MS,
    }, end.signal);
    end.abort();
    raw.close();
    assert.equal(answer.isOk(), valid);
  });
}
