import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { z } from "zod";
import { TableClient } from "../../platform/table_client.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { HttpPeerClient } from "../../src/vms/http_peer_client.ts";
import { SilentListener } from "../support/silent_listener.ts";

const TIMEOUT_MS = 300;
/** Far below the 10 s after which undici gives up a connection. */
const TEST_MS = 5000;

// Guards: a call to a VM that lost its power is answered only when the
// connection attempt ends, and its duties wait as long for a successor.
describe("calls to an address that is silent", () => {
  it("HttpPeerClient keeps its timeout", { timeout: TEST_MS }, async () => {
    const silent = await SilentListener.start();
    const end = new AbortController();
    const peers = new HttpPeerClient({
      credential: "c",
      clock: systemClock,
      signal: end.signal,
    });
    const answer = await peers.call({
      peerUrl: `http://127.0.0.1:${silent.port}`,
      method: "m",
      params: {},
      result: z.unknown(),
      timeoutMs: TIMEOUT_MS,
    }, end.signal);
    silent.close();
    end.abort();
    assert.ok(answer.isErr());
    assert.equal(answer.error.kind, "timeout");
  });

  it("TableClient keeps its timeout", { timeout: TEST_MS }, async () => {
    const silent = await SilentListener.start();
    const store = new TableClient(`127.0.0.1:${silent.port}`);
    const read = await store.readTable("t", new AbortController().signal);
    silent.close();
    await store.close();
    assert.ok(read.isErr());
    assert.equal(read.error.kind, "unknown");
  });
});
