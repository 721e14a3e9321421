import assert from "node:assert/strict";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import { DispatchSetup } from "../support/dispatch_setup.ts";

/** A promise and the function that resolves it. */
function gate(): { opened: Promise<void>; open: () => void } {
  const gates: (() => void)[] = [];
  const opened = new Promise<void>((resolve) => gates.push(resolve));
  return { opened, open: () => gates.forEach((resolve) => resolve()) };
}

/** Sends requests that the upstream answers when the gate opens. */
async function fillSlots(setup: DispatchSetup, count: number) {
  const { opened, open } = gate();
  const before = setup.upstream.received.length;
  setup.upstream.steps = Array.from(
    { length: count },
    () => ({ kind: "late" as const, until: opened }),
  );
  const lines = Array.from({ length: count }, () => setup.outcome());
  await setup.upstream.waitForRequests(before + count);
  return { open, lines };
}

function reportedUpstream(setup: DispatchSetup) {
  return setup.pool.collect().upstreams[0];
}

const NOT_DISPATCHER = "not_dispatcher not_run";

// Guards against more requests at a time than the upstream has slots, a queue
// without bound, and batch work that delays interactive requests.
test("slots, queue and classes", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 2, queue: 3 });
  const { open, lines } = await fillSlots(setup, 2);
  const batch = setup.outcome({ class: "batch", target: "/batch" });
  const first = setup.outcome({ target: "/first" });
  const second = setup.outcome({ target: "/second" });
  assert.equal(await setup.outcome(), "queue_full not_run");
  assert.equal(reportedUpstream(setup)?.queued, 3);
  open();
  await Promise.all([...lines, batch, first, second]);
  const urls = setup.upstream.received.slice(2).map(({ url }) => url);
  assert.deepEqual(urls, ["/first", "/second", "/batch"]);
  assert.equal(setup.upstream.maxConcurrent, 2);
});

// Guards against a queue that only works when requests wait.
test("a service without a queue still uses its slots", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1, queue: 0 });
  const { open, lines } = await fillSlots(setup, 1);
  assert.equal(await setup.outcome(), "queue_full not_run");
  open();
  assert.deepEqual(await Promise.all(lines), ["200 late"]);
});

type WaitingCase = {
  name: string;
  event: (setup: DispatchSetup) => Promise<void> | void;
  outcome: string;
};

// Guards against requests that stay in the queue, or are sent, when they may
// not be sent any more.
const waitingCases: WaitingCase[] = [
  {
    name: "its deadline passes",
    event: ({ clock }) => clock.advance(100),
    outcome: "deadline_exceeded not_run",
  },
  {
    name: "the dispatch lease ends",
    event: async (setup) => {
      setup.leaseMs = 50;
      setup.applyGrant();
      await setup.clock.advance(50);
    },
    outcome: NOT_DISPATCHER,
  },
  {
    name: "the tenure is taken away",
    event: (setup) => setup.applyGrant({ tenures: [] }),
    outcome: NOT_DISPATCHER,
  },
  {
    name: "the tenure is to end",
    event: (setup) =>
      setup.applyGrant({ endTenures: [{ service: "records", upstream: "a" }] }),
    outcome: NOT_DISPATCHER,
  },
  {
    name: "its unit is released",
    event: (setup) => setup.applyReleases(["shard:0"]),
    outcome: "not_owner not_run",
  },
  {
    name: "its unit moves by a new row",
    event: (setup) => setup.adoptRow(2, { shards: [1, 0, 1, 1] }),
    outcome: "not_owner not_run",
  },
];

for (const { name, event, outcome } of waitingCases) {
  test(`a request waits while ${name}`, async (t) => {
    const setup = await DispatchSetup.start(t, { slots: 1 });
    const { open, lines } = await fillSlots(setup, 1);
    const line = setup.outcome({ deadlineAt: setup.clock.now() + 100 });
    await event(setup);
    assert.equal(await line, outcome);
    assert.equal(setup.upstream.received.length, 1);
    open();
    // A request that was sent before ends as usual.
    assert.deepEqual(await Promise.all(lines), ["200 late"]);
  });
}

// Guards against a paused process that sends after its lease has ended,
// because its timers have not run yet.
test("a lease that ended during a pause stops sending without a timer", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1 });
  setup.leaseMs = 100;
  setup.applyGrant();
  // The clock moves without waking anybody.
  const pausedAt = setup.clock.now();
  setup.clock.now = () => pausedAt + 100;
  assert.equal(await setup.outcome(), NOT_DISPATCHER);
  assert.deepEqual(setup.pool.collect().tenures, []);
});

// Guards against two owners of a unit: it may be reported as released only
// after its last request, and comes back only from a newer coordinator.
test("a release waits for requests in flight and is final", async (t) => {
  const setup = await DispatchSetup.start(t);
  const { open, lines } = await fillSlots(setup, 1);
  const released = () =>
    setup.pool.collect().released.map(({ unit, readyInMs }) => ({
      unit,
      readyInMs,
    }));
  const units = ["shard:0", "shard:1"];
  setup.applyReleases(units);
  assert.deepEqual(released(), [{ unit: "shard:1", readyInMs: 0 }]);
  // Not reported yet, so the same coordinator may still withdraw it.
  setup.applyReleases(["shard:1"]);
  assert.deepEqual(released(), [{ unit: "shard:1", readyInMs: 0 }]);
  setup.applyReleases(units);
  const changed = setup.pool.reportChanged();
  open();
  await Promise.all(lines);
  await changed;
  assert.deepEqual(released().length, 2);
  setup.applyReleases([]);
  assert.equal(await setup.outcome(), "not_owner not_run");
  setup.applyReleases(["shard:1"], { coordinatorEpoch: 2 });
  assert.equal(await setup.outcome(), "200 done");
  assert.deepEqual(released(), [{ unit: "shard:1", readyInMs: 0 }]);
});

// Guards against a release that is forgotten by a row of other changes, and
// against one that stays in force after the unit came back.
test("a release ends with the row that moves the unit", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.applyReleases(["shard:0"]);
  setup.pool.collect();
  setup.adoptRow(2, { shards: [0, 1, 1, 1] });
  setup.applyReleases([]);
  assert.equal(await setup.outcome(), "not_owner not_run");
  setup.adoptRow(3, { shards: [1, 1, 1, 1] });
  await setup.clock.advance(0);
  assert.deepEqual(setup.pool.collect().released, []);
  setup.adoptRow(4, { shards: [0, 1, 1, 1] });
  assert.equal(await setup.outcome(), "200 done");
});

// Guards against a move that waits for ever, and against a new owner that
// starts while the old upstream may still run the request.
test("a release cuts requests after the longest run", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{ kind: "silent_in_body" }];
  const outcome = await setup.send();
  assert.ok(outcome.kind === "response");
  const cut = assert.rejects(text(outcome.body));
  await setup.clock.advance(500);
  setup.applyReleases(["shard:0"]);
  await setup.clock.advance(1999);
  assert.deepEqual(setup.pool.collect().released, []);
  await setup.clock.advance(1);
  await cut;
  assert.equal(setup.pool.collect().released[0]?.readyInMs, 0);
});

test("a cancelled request delays the move of its unit", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{ kind: "silent" }];
  const caller = new AbortController();
  const line = setup.outcome({}, caller.signal);
  await setup.upstream.waitForRequests(1);
  caller.abort();
  await line;
  setup.applyReleases(["shard:0", "shard:1"]);
  await setup.clock.advance(500);
  const times = setup.pool.collect().released
    .map(({ unit, readyInMs }) => [unit, readyInMs]);
  assert.deepEqual(times, [["shard:0", 1500], ["shard:1", 0]]);
});

// Guards against a pinned key that moves while its upstream, which checks only
// that the key's shard is granted, may still run a request for it.
test("a key leaves a granted shard after its last possible run", async (t) => {
  const setup = await DispatchSetup.start(t, { checksGrants: true });
  setup.upstream.steps = [{ kind: "silent" }];
  const caller = new AbortController();
  const line = setup.outcome({}, caller.signal);
  await setup.upstream.waitForRequests(1);
  caller.abort();
  await line;
  setup.applyReleases(["pin:0000000000000000", "shard:0"]);
  await setup.clock.advance(500);
  const times = setup.pool.collect().released
    .map(({ unit, readyInMs }) => [unit, readyInMs]);
  assert.deepEqual(times, [["pin:0000000000000000", 1500], ["shard:0", 0]]);
});

// Guards against an upstream that gets the requests of two terms at a time,
// and against a release that overlooks those of the earlier one.
test("requests of an earlier tenure count in the next", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1 });
  const { open, lines } = await fillSlots(setup, 1);
  setup.adoptRow(2, { tenures: { a: { vm: "x", epoch: 8 } } });
  const [service, upstream] = ["records", "a"];
  const { address } = setup.upstream;
  const next = { tenures: [{ service, upstream, address, epoch: 8 }] };
  setup.applyGrant(next);
  await setup.clock.advance(0);
  const line = setup.outcome({ digest: "0000000100000000" });
  setup.applyReleases(["shard:0"], next);
  assert.deepEqual(setup.pool.collect().released, []);
  open();
  assert.deepEqual(await Promise.all([...lines, line]), [
    "200 late",
    "200 done",
  ]);
  assert.equal(setup.upstream.maxConcurrent, 1);
  assert.equal(setup.pool.collect().released.length, 1);
});

// Guards against a term that is handed over with requests in flight.
test("a tenure is reported as ended after its last request", async (t) => {
  const setup = await DispatchSetup.start(t);
  const { open, lines } = await fillSlots(setup, 1);
  const end = { endTenures: [{ service: "records", upstream: "a" }] };
  setup.applyGrant({ ...end, tenures: [] });
  assert.equal(setup.pool.collect().ended.length, 0);
  assert.equal(setup.pool.collect().tenures.length, 1);
  const changed = setup.pool.reportChanged();
  open();
  assert.deepEqual(await Promise.all(lines), ["200 late"]);
  await changed;
  assert.equal(setup.pool.collect().ended.length, 1);
  assert.equal(setup.pool.collect().tenures.length, 0);
  setup.applyGrant();
  assert.equal(await setup.outcome(), NOT_DISPATCHER);
  setup.applyGrant({ coordinatorEpoch: 2 });
  assert.equal(await setup.outcome(), "200 done");
});

test("a tenure resumes after a lease gap, and a new epoch starts cold", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.leaseMs = 100;
  setup.applyGrant();
  await setup.clock.advance(100);
  assert.equal(await setup.outcome(), NOT_DISPATCHER);
  setup.leaseMs = 10_000;
  setup.applyGrant();
  assert.equal(await setup.outcome(), "200 done");
  setup.reports.answer = "silent";
  setup.adoptRow(2, { tenures: { a: { vm: "x", epoch: 8 } } });
  setup.applyGrant({
    tenures: [{
      service: "records",
      upstream: "a",
      address: setup.upstream.address,
      epoch: 8,
    }],
  });
  assert.equal(await setup.outcome(), "200 done");
  assert.equal(reportedUpstream(setup)?.state, "cold");
  assert.equal(setup.upstream.received.at(-1)?.headers["fescuerun-epoch"], "8");
});

// Guards against an upstream in cold start that receives more than it bears
// (invariant 3): one at a time and ten a second by default.
const coldCases: { name: string; enter: (setup: DispatchSetup) => unknown }[] =
  [
    {
      name: "at the beginning of a tenure",
      enter: () => undefined,
    },
    ...[
      { "fescuerun-boot": "b2" },
      { "fescuerun-state": "cold" },
      { "fescuerun-not-run": "shed" },
    ].map((headers) => ({
      name: `after a response with ${JSON.stringify(headers)}`,
      enter: async (setup: DispatchSetup) => {
        const status = "fescuerun-not-run" in headers ? 503 : 200;
        setup.upstream.steps = [{ kind: "answer", status, headers }];
        await setup.outcome();
      },
    })),
    {
      name: "after all connections were reset",
      enter: async (setup) => {
        setup.upstream.steps = [{ kind: "silent" }];
        const line = setup.outcome();
        await setup.upstream.waitForRequests(
          setup.upstream.received.length + 1,
        );
        setup.upstream.resetConnections();
        await line;
      },
    },
  ];

for (const { name, enter } of coldCases) {
  test(`cold ${name}`, async (t) => {
    const first = name.startsWith("at");
    const setup = await DispatchSetup.start(t, {
      slots: 3,
      health: first ? "silent" : { state: "warm", boot: "b1" },
    });
    if (!first) {
      setup.reports.answer = "silent";
      setup.upstream.steps = [{
        kind: "answer",
        headers: { "fescuerun-boot": "b1" },
      }];
      await setup.outcome();
    }
    await enter(setup);
    const { received } = setup.upstream;
    setup.upstream.maxConcurrent = 0;
    // The request that showed the change counts for the rate.
    const before = received.length;
    const used = first ? 0 : 1;
    const lines = Array.from({ length: 12 }, () => setup.outcome());
    for (let step = 0; step < 10; step++) {
      await setup.clock.advance(100 - (step === 9 ? 1 : 0));
      const allowed = Math.min(10 - used, step + 2 - used);
      await setup.upstream.waitForRequests(before + allowed);
    }
    assert.equal(received.length - before, 10 - used);
    assert.equal(setup.upstream.maxConcurrent, 1);
    assert.equal(reportedUpstream(setup)?.state, "cold");
    await setup.advanceUntil(Promise.all(lines));
  });
}

// Section 12 states the exposure: between an unannounced return to cold and the
// first response that shows it, at most `slots` requests are in flight.
test("an unannounced return to cold exposes at most the slots", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 3 });
  setup.reports.answer = "silent";
  const { opened, open } = gate();
  const headers = { "fescuerun-boot": "b2", "fescuerun-state": "cold" };
  setup.upstream.defaultStep = { kind: "late", until: opened, headers };
  const lines = Array.from({ length: 6 }, () => setup.outcome());
  await setup.upstream.waitForRequests(3);
  open();
  await Promise.all(lines.slice(0, 3));
  assert.equal(setup.upstream.maxConcurrent, 3);
  setup.upstream.maxConcurrent = 0;
  await setup.advanceUntil(Promise.all(lines));
  assert.equal(setup.upstream.maxConcurrent, 1);
});

// Guards against callers that cancel and so make room at a cold upstream that
// still runs their requests.
test("a cancelled request counts at a cold upstream", async (t) => {
  const setup = await DispatchSetup.start(t, { health: "silent" });
  setup.upstream.steps = [{ kind: "silent" }];
  const caller = new AbortController();
  const cancelled = setup.outcome({}, caller.signal);
  await setup.upstream.waitForRequests(1);
  caller.abort();
  await cancelled;
  const line = setup.outcome();
  await setup.clock.advance(1999);
  assert.equal(setup.upstream.received.length, 1);
  await setup.clock.advance(1);
  assert.equal(await line, "200 done");
});

// Guards against an answer that never ends, and against one that looks complete
// although it was cut.
test("an answer is cut at the deadline of its request", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{ kind: "silent_in_body" }];
  const outcome = await setup.send({ deadlineAt: 3000 });
  assert.ok(outcome.kind === "response");
  const cut = assert.rejects(text(outcome.body));
  await setup.clock.advance(2999);
  assert.equal(outcome.body.destroyed, false);
  await setup.clock.advance(1);
  await cut;
});

// Guards against a stall on a connection that went silent (section 14).
for (const other of ["a request", "a probe"] as const) {
  test(`a silent connection is closed while ${other} is answered`, async (t) => {
    const setup = await DispatchSetup.start(t);
    setup.upstream.steps = [{ kind: "silent" }];
    let ended = "";
    const line = setup.outcome({ idempotent: false }).then((l) => ended = l);
    await setup.upstream.waitForRequests(1);
    if (other === "a request") setup.reports.answer = "silent";
    await setup.clock.advance(400);
    if (other === "a request") assert.equal(await setup.outcome(), "200 done");
    await setup.clock.advance(599);
    assert.equal(ended, "");
    await setup.clock.advance(501);
    assert.equal(await line, "upstream_failed outcome_unknown");
    await setup.upstream.waitFor(() => setup.upstream.received[0]!.closed);
    assert.notEqual(reportedUpstream(setup)?.state, "lost");
  });
}

// Guards against an upstream that takes callers down with it: lost within the
// times of section 6.3, and noticed when it comes back.
test("an upstream that refuses connections is lost and comes back", async (t) => {
  const setup = await DispatchSetup.start(t);
  await setup.upstream.stopListening();
  setup.reports.answer = undefined;
  await setup.outcome();
  assert.notEqual(reportedUpstream(setup)?.state, "lost");
  const changed = setup.pool.reportChanged();
  await setup.clock.advance(300);
  await changed;
  assert.equal(reportedUpstream(setup)?.state, "lost");
  assert.equal(await setup.outcome(), "upstream_unavailable not_run");
  await setup.upstream.listen();
  setup.reports.answer = { state: "warm", boot: "b2" };
  await setup.clock.advance(500);
  assert.equal(reportedUpstream(setup)?.state, "cold");
  assert.equal(await setup.outcome(), "200 done");
});

test("one short interruption of connections is no loss", async (t) => {
  const setup = await DispatchSetup.start(t);
  await setup.upstream.stopListening();
  await setup.outcome();
  await setup.upstream.listen();
  assert.equal(await setup.outcome(), "200 done");
  await setup.upstream.stopListening();
  await setup.outcome();
  assert.notEqual(reportedUpstream(setup)?.state, "lost");
});

test("a frozen upstream is lost after a failed probe", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1 });
  setup.upstream.steps = [{ kind: "silent" }];
  const line = setup.outcome();
  const queued = setup.outcome();
  await setup.upstream.waitForRequests(1);
  setup.reports.answer = "silent";
  // In doubt after 300 ms, the probe fails after 1 s.
  await setup.clock.advance(1299);
  assert.notEqual(reportedUpstream(setup)?.state, "lost");
  await setup.clock.advance(501);
  assert.equal(reportedUpstream(setup)?.state, "lost");
  assert.equal(await queued, "upstream_unavailable not_run");
  // Its units are released at once; what was sent may still run.
  setup.applyReleases(["shard:0"]);
  assert.equal(await line, "upstream_failed outcome_unknown");
  assert.equal(setup.pool.collect().released[0]?.readyInMs, 200);
});

// Guards against polls that cost an upstream more than they are worth.
test("health is polled only as often as needed", async (t) => {
  const setup = await DispatchSetup.start(t);
  const polls = async (ms: number) => {
    const before = setup.reports.polls;
    await setup.clock.advance(ms);
    return setup.reports.polls - before;
  };
  assert.equal(await polls(10_000), 10);
  setup.upstream.defaultStep = {
    kind: "answer",
    headers: { "fescuerun-state": "warm" },
  };
  const before = setup.reports.polls;
  for (let step = 0; step < 20; step++) {
    await setup.outcome();
    await setup.clock.advance(500);
  }
  assert.equal(setup.reports.polls - before, 0);
  setup.upstream.defaultStep = {
    kind: "answer",
    headers: { "fescuerun-state": "cold" },
  };
  await setup.outcome();
  assert.ok(await polls(10_000) <= 20);
  setup.reports.answer = undefined;
  assert.ok(await polls(10_000) <= 20);
});

// Guards against new work for an upstream that leaves (invariant 9).
test("a draining upstream is reported, and refused after a second", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.reports.answer = { state: "draining", boot: "b1" };
  await setup.clock.advance(1000);
  assert.equal(reportedUpstream(setup)?.state, "draining");
  assert.equal(await setup.outcome(), "200 done");
  await setup.clock.advance(1000);
  assert.equal(await setup.outcome(), "draining not_run");
});

// Guards against a request that runs into a connection that went silent while
// it was idle, and against idle connections that stay for ever.
const idleCases = [
  { idleMs: 900, idempotent: false, reused: true },
  { idleMs: 1100, idempotent: false, reused: false },
  { idleMs: 3900, idempotent: true, reused: true },
  { idleMs: 4000, idempotent: true, reused: false },
];
for (const { idleMs, idempotent, reused } of idleCases) {
  test(`idle for ${idleMs} ms, idempotent: ${idempotent}`, async (t) => {
    const setup = await DispatchSetup.start(t, { connections: 3 });
    assert.equal(await setup.outcome(), "200 done");
    await setup.clock.advance(idleMs);
    if (idleMs >= 4000) {
      await setup.upstream.waitFor(() => setup.upstream.openConnections === 0);
    }
    assert.equal(await setup.outcome({ idempotent }), "200 done");
    const [first, second] = setup.upstream.received;
    assert.equal(first!.connection === second!.connection, reused);
    // One connection of three is usable, the others are for the platform.
    await setup.upstream.waitFor(() => setup.upstream.openConnections <= 1);
  });
}

// Guards against dispatchers that send to a checking upstream before it has
// the grant, and against a release that leaves it in the grant.
test("an upstream that checks grants gets requests after its grant", async (t) => {
  const setup = await DispatchSetup.start(t, { checksGrants: true });
  const { grants } = setup;
  assert.deepEqual(grants.held.units, ["shard:0", "shard:1"]);
  assert.equal(await setup.outcome(), "200 done");
  // A new unit, whose grant takes a while to arrive.
  grants.deliveries = [{ requestMs: 100, responseMs: 0 }];
  setup.adoptRow(2, { shards: [0, 0, 0, 1] });
  const line = setup.outcome({
    rowRevision: 2,
    digest: "0000000200000000",
  });
  await setup.clock.advance(99);
  assert.equal(reportedUpstream(setup)?.queued, 1);
  await setup.clock.advance(1);
  assert.equal(await line, "200 done");
  // The smaller grant is lost, so the old one may last for its whole time.
  const lost = { requestMs: Infinity, responseMs: 0 };
  grants.deliveries = [lost, lost, lost, lost, lost, lost, lost, lost];
  setup.applyReleases(["shard:0"]);
  assert.deepEqual(setup.pool.collect().released, []);
  await setup.clock.advance(500);
  const [released] = setup.pool.collect().released;
  assert.ok(released !== undefined && released.readyInMs > 0);
  await setup.clock.advance(released.readyInMs);
  assert.equal(grants.serves("shard:0"), false);
  assert.equal(setup.pool.collect().released[0]?.readyInMs, 0);
});

test("a grant of a later tenure ends the tenure", async (t) => {
  const setup = await DispatchSetup.start(t, { checksGrants: true });
  setup.grants.held = { ...setup.grants.held, epoch: 8, dispatcher: "y" };
  const changed = setup.pool.reportChanged();
  await setup.clock.advance(500);
  await changed;
  assert.deepEqual(setup.pool.collect().tenures, []);
  assert.equal(await setup.outcome(), NOT_DISPATCHER);
});
