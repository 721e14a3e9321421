import assert from "node:assert/strict";
import { test } from "node:test";
import { errAsync, ok, ResultAsync } from "neverthrow";
import type { z } from "zod";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { LeasedTenantLimiter } from "../../src/limits/leased_tenant_limiter.ts";
import type { PeerClient } from "../../src/vms/peer_client.ts";
import type { PeerError } from "../../src/vms/peer_error.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { silentLogger } from "../support/silent_logger.ts";

const TENANT = {
  name: "acme",
  keyDigests: [],
  ratePerS: 20,
  burst: 10,
  homeRegions: [],
};
const LINK_MS = 2;

/** VM a leads and is the relay; VM b takes its tokens from it. */
function createRig() {
  const clock = new ManualClock();
  const end = new AbortController();
  const limiters = new Map<string, LeasedTenantLimiter>();
  const state = { linkDown: false };
  const lines: Parameters<typeof silentLogger>[0] = [];
  const peers: PeerClient = {
    call<Schema extends z.ZodType>(
      call: {
        peerUrl: string;
        method: string;
        params: unknown;
        result: Schema;
      },
    ) {
      const failure: PeerError = { kind: "unreachable", message: "down" };
      if (state.linkDown) return errAsync(failure);
      const handler = limiters.get(call.peerUrl)!.handlers
        .find(({ method }) => method === call.method)!;
      const answer = async () => {
        await clock.sleep(LINK_MS);
        const params = handler.params.parse(
          JSON.parse(JSON.stringify(call.params)),
        );
        const result = await handler.handle(params, end.signal);
        return ok(call.result.parse(JSON.parse(JSON.stringify(result))));
      };
      return new ResultAsync(answer());
    },
  };
  const metrics = new DirectMetrics();
  const start = (url: string) => {
    const isLeader = url === "http://a";
    const limiter = new LeasedTenantLimiter({
      self: { incarnation: `${url}#1`, peerUrl: url },
      lease: {
        held: isLeader,
        confirmed: isLeader,
        maySendOrders: isLeader,
        renewalAgeMs: 0,
        predecessorOrdersEndAt: Number.NEGATIVE_INFINITY,
        term: isLeader ? { startedAt: 0, isFirst: true } : undefined,
        leaderUrl: isLeader ? undefined : "http://a",
      },
      relay: { relayUrl: "http://a", isRelay: isLeader },
      tenants: () => [TENANT],
      tenantsChanged: new ChangeNotifier(),
      bound: { windowMs: 5000, overage: 0.1, slack: 20 },
      peers,
      clock,
      logger: silentLogger(lines),
      metrics,
      signal: end.signal,
    });
    limiters.set(url, limiter);
    void limiter.run();
    return limiter;
  };
  return { clock, state, lines, metrics, start, stop: () => end.abort() };
}

// Guards against a first request that is refused or waits for the next regular
// exchange although its holder has tokens.
test("the first request of an idle tenant is admitted at once", async () => {
  const { clock, start, stop } = createRig();
  start("http://a");
  const limiter = start("http://b");
  await clock.advance(3000);
  const admission = limiter.admit(TENANT);
  assert.ok(admission instanceof Promise, "it waits for its token");
  await clock.advance(210);
  const before = clock.now();
  assert.deepEqual(await admission, { kind: "admitted" });
  assert.equal(clock.now(), before);
  stop();
});

// Guards against requests that wait without end while no holder answers, and
// against tokens that a VM that is cut off spends for ever.
test("a VM that is cut off refuses after its tokens have expired", async () => {
  const { clock, start, state, metrics, lines, stop } = createRig();
  start("http://a");
  const limiter = start("http://b");
  await clock.advance(3000);
  void limiter.admit(TENANT);
  await clock.advance(1000);
  state.linkDown = true;
  await clock.advance(500);
  assert.deepEqual(limiter.admit(TENANT), { kind: "admitted" });
  await clock.advance(3000);
  const admission = limiter.admit(TENANT);
  await clock.advance(250);
  const result = await admission;
  assert.deepEqual(result, { kind: "limited", retryAfterMs: 1000 });
  const { values } = await metrics.limitedRequests.get();
  assert.deepEqual(values.map(({ value, labels }) => ({ value, labels })), [
    { value: 1, labels: { reason: "no_tokens" } },
  ]);
  const line = lines.find(({ level }) => level === "warn")?.args[0];
  assert.equal((line as { tenant: string }).tenant, "acme");
  stop();
});

// Guards against requests above the limit that wait, that are refused without a
// time to come back, or that write a log line each.
test("requests above the limit are refused at once", async () => {
  const { clock, start, lines, stop } = createRig();
  start("http://a");
  const limiter = start("http://b");
  await clock.advance(5000);
  const results: unknown[] = [];
  const send = async (count: number) => {
    for (let index = 0; index < count; index++) {
      void Promise.resolve(limiter.admit(TENANT)).then((result) =>
        results.push(result.kind)
      );
    }
    await clock.advance(400);
  };
  await send(200);
  assert.equal(results.length, 200);
  const admitted = results.filter((kind) => kind === "admitted").length;
  assert.ok(admitted >= 10 && admitted < 60, `${admitted} admitted`);
  // The holder has said that it has no tokens.
  for (let index = 0; index < 20; index++) void limiter.admit(TENANT);
  await clock.advance(210);
  const refused = lines.filter(({ level }) => level === "warn");
  assert.equal(refused.length, 1);
  assert.deepEqual(Object.keys(refused[0]!.args[0] as object), [
    "tenant",
    "ratePerS",
    "burst",
    "share",
    "reason",
    "unlogged",
  ]);
  stop();
});

// Guards against a tenant without a limit that depends on holders.
test("a tenant without a rate is not limited", () => {
  const { start, stop } = createRig();
  const limiter = start("http://b");
  for (let index = 0; index < 1000; index++) {
    assert.deepEqual(limiter.admit({ ...TENANT, ratePerS: 0 }), {
      kind: "admitted",
    });
  }
  stop();
});
