import assert from "node:assert/strict";
import { test } from "node:test";
import { Readable } from "node:stream";
import { setImmediate } from "node:timers/promises";
import type { DispatchRequest } from "../../src/upstreams/dispatch_request.ts";
import { DispatchSetup } from "../support/dispatch_setup.ts";

type Case = {
  name: string;
  change?: Partial<DispatchRequest>;
  /** Events before and after `dispatch` is called. */
  before?: (setup: DispatchSetup) => Promise<void> | void;
  after?: (setup: DispatchSetup) => Promise<void> | void;
  outcome: string;
  /** Number of requests that reach the upstream. */
  arrive: number;
};

const PIN = "00000002aaaaaaaa";

// Guards against the outcome `not_run` for a request that may have run (section
// 10 of the design page), and against requests for keys or upstreams that
// belong to another dispatcher.
const cases: Case[] = [
  { name: "a complete answer", outcome: "200 done", arrive: 1 },
  {
    name: "connection refused",
    before: ({ upstream }) => upstream.stopListening(),
    outcome: "upstream_unavailable not_run",
    arrive: 0,
  },
  {
    name: "the dispatch term ends while the connection is opened",
    after: (setup) => setup.applyGrant({ tenures: [] }),
    outcome: "not_dispatcher not_run",
    arrive: 0,
  },
  {
    name: "the unit moves while the connection is opened",
    after: (setup) => setup.adoptRow(2, { shards: [1, 0, 1, 1] }),
    outcome: "not_owner not_run",
    arrive: 0,
  },
  {
    name: "the caller disconnects while the connection is opened",
    change: { target: "/cancel" },
    outcome: "upstream_unavailable not_run",
    arrive: 0,
  },
  ...["shed", "grant", "unknown"].map((reason): Case => ({
    name: `refused by the upstream: ${reason}`,
    before: ({ upstream }) => {
      const headers = { "fescuerun-not-run": reason };
      upstream.steps = [{ kind: "answer", status: 503, headers }];
    },
    outcome: "upstream_unavailable not_run",
    arrive: 1,
  })),
  {
    name: "refused by the upstream: draining",
    before: ({ upstream }) => {
      const headers = { "fescuerun-not-run": "draining" };
      upstream.steps = [{ kind: "answer", status: 503, headers }];
    },
    outcome: "draining not_run",
    arrive: 1,
  },
  {
    name: "an error that is not a refusal",
    before: ({ upstream }) => {
      upstream.steps = [{ kind: "answer", status: 503 }];
    },
    outcome: "503 done",
    arrive: 1,
  },
  ...[true, false].map((idempotent): Case => ({
    name: `connection closed before the answer, idempotent: ${idempotent}`,
    change: { idempotent },
    before: ({ upstream }) => {
      upstream.steps = [{ kind: "cut_before_answer" }];
    },
    outcome: "upstream_failed outcome_unknown",
    arrive: 1,
  })),
  ...(["cut_after_headers", "cut_in_body"] as const).map((kind): Case => ({
    name: `answer ${kind}`,
    before: ({ upstream }) => {
      upstream.steps = [{ kind }];
    },
    outcome: "200 truncated",
    arrive: 1,
  })),
  {
    name: "deadline passed on arrival",
    change: { deadlineAt: 0 },
    outcome: "deadline_exceeded not_run",
    arrive: 0,
  },
  {
    name: "deadline passes after sending",
    change: { deadlineAt: 50 },
    before: ({ upstream }) => {
      upstream.steps = [{ kind: "silent" }];
    },
    after: async ({ clock, upstream }) => {
      await upstream.waitForRequests(1);
      await clock.advance(50);
    },
    outcome: "deadline_exceeded outcome_unknown",
    arrive: 1,
  },
  {
    name: "no answer within the longest run time",
    before: ({ upstream, reports }) => {
      upstream.steps = [{ kind: "silent" }];
      reports.answer = "silent";
    },
    after: async ({ clock, upstream }) => {
      await upstream.waitForRequests(1);
      await clock.advance(2000);
    },
    outcome: "deadline_exceeded outcome_unknown",
    arrive: 1,
  },
  {
    name: "unknown upstream",
    change: { upstream: "b" },
    outcome: "not_dispatcher not_run",
    arrive: 0,
  },
  {
    name: "key of another upstream",
    change: { digest: "0000000200000000" },
    outcome: "not_owner not_run",
    arrive: 0,
  },
  {
    name: "key pinned to this upstream",
    change: { digest: PIN },
    before: (setup) => setup.adoptRow(2, { pins: { [PIN]: "a" } }),
    outcome: "200 done",
    arrive: 1,
  },
  {
    name: "key of an owned shard that is pinned to another upstream",
    before: (setup) => setup.adoptRow(2, { pins: { "0000000000000000": "b" } }),
    outcome: "not_owner not_run",
    arrive: 0,
  },
  {
    name: "a row older than the dispatch term may show units that have moved",
    before: (setup) =>
      setup.adoptRow(2, { tenures: { a: { vm: "x", epoch: 6 } } }),
    after: ({ clock }) => clock.advance(250),
    outcome: "not_owner not_run",
    arrive: 0,
  },
  {
    name: "a newer row arrives within 250 ms",
    change: { rowRevision: 2, digest: "0000000200000000" },
    after: (setup) => setup.adoptRow(2, { shards: [0, 0, 0, 0] }),
    outcome: "200 done",
    arrive: 1,
  },
  {
    name: "a newer row does not arrive within 250 ms",
    change: { rowRevision: 2, digest: "0000000200000000" },
    after: ({ clock }) => clock.advance(250),
    outcome: "not_owner not_run",
    arrive: 0,
  },
  {
    name: "released unit",
    before: (setup) => setup.applyReleases(["shard:0"]),
    outcome: "not_owner not_run",
    arrive: 0,
  },
  {
    name: "key that is to be pinned elsewhere",
    before: (setup) => setup.applyReleases(["pin:0000000000000000"]),
    outcome: "not_owner not_run",
    arrive: 0,
  },
  {
    name: "dispatch term to be handed over",
    before: (setup) =>
      setup.applyGrant({ endTenures: [{ service: "records", upstream: "a" }] }),
    outcome: "not_dispatcher not_run",
    arrive: 0,
  },
  {
    name: "dispatch lease expired",
    before: async (setup) => {
      setup.leaseMs = 100;
      setup.applyGrant();
      await setup.clock.advance(100);
    },
    outcome: "not_dispatcher not_run",
    arrive: 0,
  },
  {
    name: "late answer of a replaced coordinator is ignored",
    before: (setup) => {
      setup.applyGrant({ coordinatorEpoch: 2 });
      setup.applyGrant({ coordinatorEpoch: 1, tenures: [] });
    },
    outcome: "200 done",
    arrive: 1,
  },
];

for (const { name, change, before, after, outcome, arrive } of cases) {
  test(`outcome: ${name}`, async (t) => {
    const setup = await DispatchSetup.start(t);
    await before?.(setup);
    const caller = new AbortController();
    const answer = setup.outcome(change, caller.signal);
    if (change?.target === "/cancel") caller.abort();
    await after?.(setup);
    assert.equal(await answer, outcome);
    assert.equal(setup.upstream.received.length, arrive);
  });
}

// Guards against callers and upstreams that imitate the router, and against
// hop-by-hop headers that break the next connection.
test("forwards neither hop-by-hop headers nor those of the router", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{
    kind: "answer",
    headers: {
      "fescuerun-boot": "b1",
      "x-kept": "1",
      "x-hop": "1",
      "connection": "x-hop",
    },
  }];
  const outcome = await setup.send({
    method: "POST",
    headers: {
      "connection": "x-own",
      "x-own": "1",
      "x-sent": "1",
      "te": "trailers",
      "expect": "100-continue",
      "content-length": "4",
      "fescuerun-unit": "shard:3",
      "Fescuerun-Epoch": "99",
      "fescuerun-upstream": "b",
    },
    body: Readable.from([Buffer.from("bo"), Buffer.from("dy")]),
    deadlineAt: setup.clock.now() + 700,
  });
  const [received] = setup.upstream.received;
  const own = Object.entries(received!.headers).filter(([name]) =>
    name.startsWith("fescuerun-")
  );
  assert.deepEqual(Object.fromEntries(own), {
    "fescuerun-request-id": "r1",
    "fescuerun-unit": "shard:0",
    "fescuerun-epoch": "7",
    "fescuerun-deadline-ms": "700",
  });
  assert.equal(received!.headers["x-sent"], "1");
  assert.equal(received!.headers["x-own"], undefined);
  assert.equal(received!.headers.te, undefined);
  assert.equal(received!.body, "body");
  assert.ok(outcome.kind === "response");
  const names = Object.keys(outcome.headers);
  assert.ok(names.includes("x-kept"));
  for (const name of ["x-hop", "connection", "fescuerun-boot"]) {
    assert.ok(!names.includes(name), name);
  }
});

// Guards against a retry whose stream body was destroyed by a failed attempt.
test("does not read a stream body if the attempt was not sent", async (t) => {
  const setup = await DispatchSetup.start(t);
  await setup.upstream.stopListening();
  const body = Readable.from([Buffer.from("body")]);
  const post = { method: "POST", body };
  assert.equal(await setup.outcome(post), "upstream_unavailable not_run");
  assert.equal(body.readableDidRead, false);
  await setup.upstream.listen();
  assert.equal(await setup.outcome(post), "200 done");
  assert.equal(setup.upstream.received[0]?.body, "body");
});

// Guards against unbounded memory when a caller reads slowly.
test("pauses the upstream while the answer is not read", async (t) => {
  const setup = await DispatchSetup.start(t);
  const size = 20_000_000;
  setup.upstream.steps = [{ kind: "answer", body: "x".repeat(size) }];
  const outcome = await setup.send();
  assert.ok(outcome.kind === "response");
  for (let turn = 0; turn < 200; turn++) await setImmediate();
  assert.ok(outcome.body.readableLength < 1_000_000);
  let read = 0;
  for await (const chunk of outcome.body) read += (chunk as Buffer).length;
  assert.equal(read, size);
});

// Guards against an upstream that works for a caller that has disconnected.
test("closes the upstream's connection when the caller disconnects", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{ kind: "silent" }];
  const caller = new AbortController();
  const answer = setup.outcome({}, caller.signal);
  await setup.upstream.waitForRequests(1);
  caller.abort();
  assert.equal(await answer, "upstream_failed outcome_unknown");
  await setup.upstream.waitFor(() => setup.upstream.received[0]!.closed);
});
