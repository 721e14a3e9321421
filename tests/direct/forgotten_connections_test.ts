import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { systemClock } from "../../src/base/system_clock.ts";
import { attempt } from "../../src/direct/attempt.ts";
import type { Upstream } from "../../src/direct/upstream.ts";
import { IdleLimit } from "../../src/upstreams/idle_limit.ts";
import { attemptOptions } from "../support/attempt_options.ts";
import { RawUpstream } from "../support/raw_upstream.ts";
import { testCall } from "../support/test_call.ts";
import { testUpstream } from "../support/test_upstream.ts";

const ID = "9c41d07be2a35f68";
const ANSWER = `HTTP/1.1 200 OK\r\nFescuerun-Request-Id: ${ID}\r\n` +
  "Fescuerun-Response-Signature: s\r\nContent-Length: 0\r\n\r\n";
const RESET_AFTER_IDLE_MS = 300;
const IDLE_MS = 400;
const UPSTREAMS = 4;

const call = testCall({ method: "POST" });

/**
 * An upstream that resets a connection at the first request after idle time.
 */
async function idleResettingUpstream(): Promise<RawUpstream> {
  const usedAt = new WeakMap<object, number>();
  return await new RawUpstream((socket) => {
    const now = systemClock.now();
    const idleMs = now - (usedAt.get(socket) ?? now);
    usedAt.set(socket, now);
    if (idleMs >= RESET_AFTER_IDLE_MS) socket.resetAndDestroy();
    else socket.write(ANSWER);
  }).listen();
}

async function send(upstream: Upstream): Promise<string> {
  const { kind } = await attempt(
    attemptOptions(upstream, { call, idempotent: false }),
    new AbortController().signal,
  );
  return kind;
}

describe("connections that upstreams drop before their idle timeout", () => {
  // Guards against one failed request for each connection of each upstream.
  it("are not reused after idle time once two upstreams reset them", async () => {
    const idleLimit = new IdleLimit();
    const raws = await Promise.all(
      Array.from({ length: UPSTREAMS }, idleResettingUpstream),
    );
    const upstreams = raws.map(({ port }) =>
      testUpstream({ address: `127.0.0.1:${port}` }, systemClock, idleLimit)
    );
    const kinds: string[] = [];
    for (const upstream of upstreams) kinds.push(await send(upstream));
    await systemClock.sleep(IDLE_MS);
    for (const upstream of upstreams) kinds.push(await send(upstream));
    for (const upstream of upstreams) upstream.close();
    for (const raw of raws) raw.close();
    const answered = kinds.filter((kind) => kind === "answered").length;
    assert.equal(answered, 2 * UPSTREAMS - 2, kinds.join());
  });
});
