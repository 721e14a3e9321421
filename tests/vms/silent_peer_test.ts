import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { z } from "zod";
import { TableClient } from "../../platform/table_client.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { HttpPeerClient } from "../../src/vms/http_peer_client.ts";
import { SilentListener } from "../support/silent_listener.ts";

const CALL_TIMEOUT_MS = 300;
/** Well below undici's default connect timeout of 10 s. */
const TEST_TIMEOUT_MS = 5000;

// Guards against calls to a VM without power that ignore their own timeout and
// fail only when the connection attempt does. This would delay the takeover of
// the VM's work by its successor.
describe("calls to an address that does not accept connections", () => {
  it(
    "HttpPeerClient fails within its timeout",
    { timeout: TEST_TIMEOUT_MS },
    async () => {
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
        timeoutMs: CALL_TIMEOUT_MS,
      }, end.signal);
      silent.close();
      end.abort();
      assert.ok(answer.isErr());
      assert.equal(answer.error.kind, "timeout");
    },
  );

  it(
    "TableClient fails within its timeout",
    { timeout: TEST_TIMEOUT_MS },
    async () => {
      const silent = await SilentListener.start();
      const store = new TableClient({
        address: `127.0.0.1:${silent.port}`,
        clock: systemClock,
      });
      const read = await store.readTable("t", new AbortController().signal);
      silent.close();
      await store.close();
      assert.ok(read.isErr());
      assert.equal(read.error.kind, "unknown");
    },
  );
});
