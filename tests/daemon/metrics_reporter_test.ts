import assert from "node:assert/strict";
import { errAsync, okAsync } from "neverthrow";
import { test } from "node:test";
import { z } from "zod";
import { Views } from "../../src/daemon/views.ts";
import { MetricsReporter } from "../../src/daemon/metrics_reporter.ts";
import { RenewalMetrics } from "../../src/daemon/renewal_metrics.ts";
import type { PeerClient } from "../../src/vms/peer_client.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { RecordingMetrics } from "../support/recording_metrics.ts";

const SERVICE = { slots: 1, connections: 1 };

function row(coordinatorEpoch: number, shards: number[], region = "sierra") {
  const upstream = { address: "10.0.0.1:80", failureDomain: "a" };
  return {
    schema: 1 as const,
    service: "usage",
    region,
    coordinatorEpoch,
    writeId: "w",
    upstreams: [{ id: "u1", ...upstream }, { id: "u2", ...upstream }],
    shards,
    tenures: {},
    pins: {},
  };
}

function setUp() {
  const clock = new ManualClock();
  const metrics = new RecordingMetrics();
  const views = new Views();
  const renewals = new RenewalMetrics(metrics, "sierra");
  const state = { epoch: undefined as number | undefined };
  const end = new AbortController();
  const reporter = new MetricsReporter({
    clock,
    metrics,
    region: "sierra",
    storeContact: { mode: () => "outage" },
    coordinatorLease: {
      held: () =>
        state.epoch === undefined ? undefined : { epoch: state.epoch },
    },
    views,
    holdQueue: { heldCount: 4 },
    renewals,
  });
  return { clock, metrics, views, renewals, state, end, reporter };
}

test("gauges are sampled every 10 s, as 0 for services without upstreams", async () => {
  const { clock, metrics, views, renewals, state, end, reporter } = setUp();
  views.catalogue.adopt({
    schema: 1,
    version: 3,
    author: "ana",
    at: "",
    writeId: "w",
    document: {
      schema: 1,
      services: { usage: SERVICE, idle: SERVICE },
      entries: {},
      out: { failureDomains: [], vms: [] },
    } as never,
  });
  state.epoch = 5;
  const upstream = { service: "usage", serviceMs: 0, ratePerS: 0 };
  renewals.measureDispatchers({
    collectReport: () => ({
      tenures: [],
      released: [],
      ended: [],
      hotKeys: [],
      upstreams: [
        { ...upstream, upstream: "u1", state: "warm", inFlight: 2, queued: 1 },
        { ...upstream, upstream: "u2", state: "lost", inFlight: 1, queued: 5 },
      ],
    }),
    applyGrant: () => undefined,
    reportChanged: () => Promise.resolve(),
  }).collectReport();
  views.assignments.adopt(1, row(5, [0, -1, -1]));
  const run = reporter.run(end.signal);
  await clock.advance(9_000);
  assert.equal(metrics.values.size, 0);
  await clock.advance(1_000);
  const expected = {
    "store.mode sierra": 2,
    "catalogue.version sierra": 3,
    "coordinator.epoch sierra": 5,
    "hold.held sierra": 4,
    "assignment.unassigned sierra/usage": 2,
    "upstream.warm sierra/usage": 1,
    "upstream.lost sierra/usage": 1,
    "upstream.in_flight sierra/usage": 3,
    "upstream.queued sierra/usage": 6,
    "upstream.lost sierra/idle": 0,
  };
  for (const [key, value] of Object.entries(expected)) {
    assert.equal(metrics.values.get(key), value, key);
  }
  end.abort();
  await run;
});

test("only the coordinator that wrote the row counts moved shards", async () => {
  const { clock, metrics, views, state, end, reporter } = setUp();
  const moved = () => metrics.values.get("assignment.moved sierra/usage");
  const run = reporter.run(end.signal);
  views.assignments.adopt(1, row(5, [0, 0, -1]));
  await clock.advance(0);
  // Another router is the coordinator, and counts this move.
  views.assignments.adopt(2, row(5, [1, 0, -1]));
  await clock.advance(0);
  assert.equal(moved(), undefined);
  state.epoch = 5;
  views.assignments.adopt(3, row(5, [0, -1, 1]));
  views.assignments.adopt(3, row(5, [0, 0, 0], "costa"));
  await clock.advance(0);
  assert.equal(moved(), 2);
  end.abort();
  await run;
});

const renewalCalls: {
  name: string;
  answer: ReturnType<PeerClient["call"]>;
  aborted: boolean;
  expectedFailures: number | undefined;
}[] = [
  {
    name: "a granted renewal does not count as failed",
    answer: okAsync({ kind: "granted" }),
    aborted: false,
    expectedFailures: undefined,
  },
  {
    name: "a refusal by a router that is not the coordinator counts as failed",
    answer: okAsync({ kind: "not_coordinator" }),
    aborted: false,
    expectedFailures: 1,
  },
  {
    name: "a call that gets no answer counts as failed",
    answer: errAsync({ kind: "unreachable", message: "" } as never),
    aborted: false,
    expectedFailures: 1,
  },
  {
    name: "a call that the router itself aborted does not count as failed",
    answer: errAsync({ kind: "unreachable", message: "" } as never),
    aborted: true,
    expectedFailures: undefined,
  },
];
// Guards against a metric renewal.failed that misses failed renewals, or counts
// renewals that did not fail.
for (
  const { name, answer, aborted, expectedFailures } of renewalCalls
) {
  test(`renewals: ${name}`, async () => {
    const { metrics, renewals } = setUp();
    const peers = renewals.measurePeers({ call: () => answer as never });
    await peers.call({
      peerUrl: "http://10.0.0.1:1",
      method: "dispatch.renew",
      params: {},
      result: z.unknown(),
      timeoutMs: 1,
    }, aborted ? AbortSignal.abort() : new AbortController().signal);
    assert.equal(metrics.values.get("renewal.failed sierra"), expectedFailures);
  });
}
