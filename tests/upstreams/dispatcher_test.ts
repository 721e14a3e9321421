import assert from "node:assert/strict";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import { DispatchSetup } from "../support/dispatch_setup.ts";

/** Returns a promise and the function that resolves it. */
function deferred(): { opened: Promise<void>; open: () => void } {
  const resolvers: (() => void)[] = [];
  const opened = new Promise<void>((resolve) => resolvers.push(resolve));
  return { opened, open: () => resolvers.forEach((resolve) => resolve()) };
}

/** Sends requests that the upstream answers once `open` is called. */
async function fillSlots(setup: DispatchSetup, count: number) {
  const { opened, open } = deferred();
  const before = setup.upstream.received.length;
  setup.upstream.steps = Array.from(
    { length: count },
    () => ({ kind: "late" as const, until: opened }),
  );
  const answers = Array.from({ length: count }, () => setup.outcome());
  await setup.upstream.waitForRequests(before + count);
  return { open, answers };
}

function reportedUpstream(setup: DispatchSetup) {
  return setup.pool.collectReport().upstreams[0];
}

const NOT_DISPATCHER = "not_dispatcher not_run";

// Guards against more concurrent requests than the upstream has slots, an
// unbounded queue, and batch requests that delay interactive ones.
test("limits concurrency and queue, and sends interactive requests first", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 2, queue: 3 });
  const { open, answers } = await fillSlots(setup, 2);
  const batch = setup.outcome({ class: "batch", target: "/batch" });
  const first = setup.outcome({ target: "/first" });
  const second = setup.outcome({ target: "/second" });
  assert.equal(await setup.outcome(), "queue_full not_run");
  assert.equal(reportedUpstream(setup)?.queued, 3);
  open();
  await Promise.all([...answers, batch, first, second]);
  const urls = setup.upstream.received.slice(2).map(({ url }) => url);
  assert.deepEqual(urls, ["/first", "/second", "/batch"]);
  assert.equal(setup.upstream.maxConcurrent, 2);
});

// Guards against a queue limit of 0 that also refuses requests for which a slot
// is free.
test("uses all slots of a service whose queue limit is 0", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1, queue: 0 });
  const { open, answers } = await fillSlots(setup, 1);
  assert.equal(await setup.outcome(), "queue_full not_run");
  open();
  assert.deepEqual(await Promise.all(answers), ["200 late"]);
});

type WaitingCase = {
  name: string;
  event: (setup: DispatchSetup) => Promise<void> | void;
  outcome: string;
};

// Guards against waiting requests that stay queued or are sent after they must
// no longer be sent.
const waitingCases: WaitingCase[] = [
  {
    name: "its deadline passes",
    event: ({ clock }) => clock.advance(100),
    outcome: "deadline_exceeded not_run",
  },
  {
    name: "the dispatch lease expires",
    event: async (setup) => {
      setup.leaseMs = 50;
      setup.applyGrant();
      await setup.clock.advance(50);
    },
    outcome: NOT_DISPATCHER,
  },
  {
    name: "the dispatch term is withdrawn",
    event: (setup) => setup.applyGrant({ tenures: [] }),
    outcome: NOT_DISPATCHER,
  },
  {
    name: "the dispatch term is to be handed over",
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
    name: "a new row moves its unit",
    event: (setup) => setup.adoptRow(2, { shards: [1, 0, 1, 1] }),
    outcome: "not_owner not_run",
  },
];

for (const { name, event, outcome } of waitingCases) {
  test(`refuses a waiting request when ${name}`, async (t) => {
    const setup = await DispatchSetup.start(t, { slots: 1 });
    const { open, answers } = await fillSlots(setup, 1);
    const answer = setup.outcome({ deadlineAt: setup.clock.now() + 100 });
    await event(setup);
    assert.equal(await answer, outcome);
    assert.equal(setup.upstream.received.length, 1);
    open();
    // The request that was sent before is not affected.
    assert.deepEqual(await Promise.all(answers), ["200 late"]);
  });
}

// Guards against a process that was paused and sends after its lease expired,
// because its timers have not run yet.
test("refuses requests after the lease expired in a pause of the process", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1 });
  setup.leaseMs = 100;
  setup.applyGrant();
  // The clock moves without running timers.
  const pausedAt = setup.clock.now();
  setup.clock.now = () => pausedAt + 100;
  assert.equal(await setup.outcome(), NOT_DISPATCHER);
  assert.deepEqual(setup.pool.collectReport().tenures, []);
});

// Guards against two owners of a unit: it may be reported as released only
// after its last request, and only a newer coordinator may then withdraw the
// release.
test("reports a unit as released only after its last request", async (t) => {
  const setup = await DispatchSetup.start(t);
  const { open, answers } = await fillSlots(setup, 1);
  const released = () =>
    setup.pool.collectReport().released.map(({ unit, readyInMs }) => ({
      unit,
      readyInMs,
    }));
  const units = ["shard:0", "shard:1"];
  setup.applyReleases(units);
  assert.deepEqual(released(), [{ unit: "shard:1", readyInMs: 0 }]);
  // Shard 0 is not reported yet, so the same coordinator may withdraw it.
  setup.applyReleases(["shard:1"]);
  assert.deepEqual(released(), [{ unit: "shard:1", readyInMs: 0 }]);
  setup.applyReleases(units);
  const changed = setup.pool.reportChanged();
  open();
  await Promise.all(answers);
  await changed;
  assert.deepEqual(released().length, 2);
  setup.applyReleases([]);
  assert.equal(await setup.outcome(), "not_owner not_run");
  setup.applyReleases(["shard:1"], { coordinatorEpoch: 2 });
  assert.equal(await setup.outcome(), "200 done");
  assert.deepEqual(released(), [{ unit: "shard:1", readyInMs: 0 }]);
});

// Guards against a release that is dropped when a row with other changes
// arrives, and against one that still applies after the unit was assigned to
// the upstream again.
test("a release ends with the row that moves the unit", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.applyReleases(["shard:0"]);
  setup.pool.collectReport();
  setup.adoptRow(2, { shards: [0, 1, 1, 1] });
  setup.applyReleases([]);
  assert.equal(await setup.outcome(), "not_owner not_run");
  setup.adoptRow(3, { shards: [1, 1, 1, 1] });
  await setup.clock.advance(0);
  assert.deepEqual(setup.pool.collectReport().released, []);
  setup.adoptRow(4, { shards: [0, 1, 1, 1] });
  assert.equal(await setup.outcome(), "200 done");
});

// Guards against a move that waits forever for a request, and against a new
// owner that starts while the old upstream may still run the request.
test("a release aborts requests that exceed the longest run time", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{ kind: "silent_in_body" }];
  const outcome = await setup.send();
  assert.ok(outcome.kind === "response");
  const truncated = assert.rejects(text(outcome.body));
  await setup.clock.advance(500);
  setup.applyReleases(["shard:0"]);
  await setup.clock.advance(1999);
  assert.deepEqual(setup.pool.collectReport().released, []);
  await setup.clock.advance(1);
  await truncated;
  assert.equal(setup.pool.collectReport().released[0]?.readyInMs, 0);
});

// Guards against a unit that moves while its upstream may still run a request
// that the caller cancelled.
test("a cancelled request delays the move of its unit", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{ kind: "silent" }];
  const caller = new AbortController();
  const answer = setup.outcome({}, caller.signal);
  await setup.upstream.waitForRequests(1);
  caller.abort();
  await answer;
  setup.applyReleases(["shard:0", "shard:1"]);
  await setup.clock.advance(500);
  const times = setup.pool.collectReport().released
    .map(({ unit, readyInMs }) => [unit, readyInMs]);
  assert.deepEqual(times, [["shard:0", 1500], ["shard:1", 0]]);
});

// Guards against a key that is pinned elsewhere while its upstream, which checks
// only that the key's shard is granted, may still run a request for it.
test("a key leaves a granted shard after the deadline of its last request", async (t) => {
  const setup = await DispatchSetup.start(t, { checksGrants: true });
  setup.upstream.steps = [{ kind: "silent" }];
  const caller = new AbortController();
  const answer = setup.outcome({}, caller.signal);
  await setup.upstream.waitForRequests(1);
  caller.abort();
  await answer;
  setup.applyReleases(["pin:0000000000000000", "shard:0"]);
  await setup.clock.advance(500);
  const times = setup.pool.collectReport().released
    .map(({ unit, readyInMs }) => [unit, readyInMs]);
  assert.deepEqual(times, [["pin:0000000000000000", 1500], ["shard:0", 0]]);
});

// Guards against an upstream that receives the full load of two dispatch terms
// at once, and against a release that ignores requests of the earlier term.
test("counts requests of an earlier dispatch term in the next one", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1 });
  const { open, answers } = await fillSlots(setup, 1);
  setup.adoptRow(2, { tenures: { a: { vm: "x", epoch: 8 } } });
  const [service, upstream] = ["records", "a"];
  const { address } = setup.upstream;
  const next = { tenures: [{ service, upstream, address, epoch: 8 }] };
  setup.applyGrant(next);
  await setup.clock.advance(0);
  const answer = setup.outcome({ digest: "0000000100000000" });
  setup.applyReleases(["shard:0"], next);
  assert.deepEqual(setup.pool.collectReport().released, []);
  open();
  assert.deepEqual(await Promise.all([...answers, answer]), [
    "200 late",
    "200 done",
  ]);
  assert.equal(setup.upstream.maxConcurrent, 1);
  assert.equal(setup.pool.collectReport().released.length, 1);
});

// Guards against a dispatch term that is handed over with requests in flight.
test("reports a dispatch term as ended after its last request", async (t) => {
  const setup = await DispatchSetup.start(t);
  const { open, answers } = await fillSlots(setup, 1);
  const end = { endTenures: [{ service: "records", upstream: "a" }] };
  setup.applyGrant({ ...end, tenures: [] });
  assert.equal(setup.pool.collectReport().ended.length, 0);
  assert.equal(setup.pool.collectReport().tenures.length, 1);
  const changed = setup.pool.reportChanged();
  open();
  assert.deepEqual(await Promise.all(answers), ["200 late"]);
  await changed;
  assert.equal(setup.pool.collectReport().ended.length, 1);
  assert.equal(setup.pool.collectReport().tenures.length, 0);
  setup.applyGrant();
  assert.equal(await setup.outcome(), NOT_DISPATCHER);
  setup.applyGrant({ coordinatorEpoch: 2 });
  assert.equal(await setup.outcome(), "200 done");
});

// Guards against a dispatch term that stays suspended after its lease was
// renewed, and against a new one that assumes that the upstream is warm.
test("a renewed lease resumes the dispatch term, and a new epoch starts cold", async (t) => {
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

// Guards against an upstream in cold start that receives more than its limits
// (invariant 3 of the design page): by default one request at a time and ten
// per second.
const coldCases: { name: string; enter: (setup: DispatchSetup) => unknown }[] =
  [
    {
      name: "at the start of a dispatch term",
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
        const answer = setup.outcome();
        await setup.upstream.waitForRequests(
          setup.upstream.received.length + 1,
        );
        setup.upstream.resetConnections();
        await answer;
      },
    },
  ];

for (const { name, enter } of coldCases) {
  test(`applies the cold-start limits ${name}`, async (t) => {
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
    // The request that revealed the cold start counts towards the rate.
    const before = received.length;
    const used = first ? 0 : 1;
    const answers = Array.from({ length: 12 }, () => setup.outcome());
    for (let step = 0; step < 10; step++) {
      await setup.clock.advance(100 - (step === 9 ? 1 : 0));
      const allowed = Math.min(10 - used, step + 2 - used);
      await setup.upstream.waitForRequests(before + allowed);
    }
    assert.equal(received.length - before, 10 - used);
    assert.equal(setup.upstream.maxConcurrent, 1);
    assert.equal(reportedUpstream(setup)?.state, "cold");
    await setup.advanceUntil(Promise.all(answers));
  });
}

// Guards against more load than section 12 of the design page allows: between
// an unannounced return to cold and the first response that reveals it, at most
// `slots` requests are in flight.
test("sends at most one request per slot before it sees an unannounced cold start", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 3 });
  setup.reports.answer = "silent";
  const { opened, open } = deferred();
  const headers = { "fescuerun-boot": "b2", "fescuerun-state": "cold" };
  setup.upstream.defaultStep = { kind: "late", until: opened, headers };
  const answers = Array.from({ length: 6 }, () => setup.outcome());
  await setup.upstream.waitForRequests(3);
  open();
  await Promise.all(answers.slice(0, 3));
  assert.equal(setup.upstream.maxConcurrent, 3);
  setup.upstream.maxConcurrent = 0;
  await setup.advanceUntil(Promise.all(answers));
  assert.equal(setup.upstream.maxConcurrent, 1);
});

// Guards against cancelled requests that free capacity at a cold upstream while
// it still runs them.
test("counts a cancelled request at a cold upstream until its deadline", async (t) => {
  const setup = await DispatchSetup.start(t, { health: "silent" });
  setup.upstream.steps = [{ kind: "silent" }];
  const caller = new AbortController();
  const cancelled = setup.outcome({}, caller.signal);
  await setup.upstream.waitForRequests(1);
  caller.abort();
  await cancelled;
  const answer = setup.outcome();
  await setup.clock.advance(1999);
  assert.equal(setup.upstream.received.length, 1);
  await setup.clock.advance(1);
  assert.equal(await answer, "200 done");
});

// Guards against an answer that never ends, and against one that looks complete
// although it was truncated.
test("truncates an answer with an error at the deadline of its request", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [{ kind: "silent_in_body" }];
  const outcome = await setup.send({ deadlineAt: 3000 });
  assert.ok(outcome.kind === "response");
  const truncated = assert.rejects(text(outcome.body));
  await setup.clock.advance(2999);
  assert.equal(outcome.body.destroyed, false);
  await setup.clock.advance(1);
  await truncated;
});

// Guards against a request that waits on a connection that the network dropped
// without a close (section 14 of the design page).
for (const other of ["a request", "a health check"] as const) {
  test(`closes an unanswered connection when ${other} elsewhere is answered`, async (t) => {
    const setup = await DispatchSetup.start(t);
    setup.upstream.steps = [{ kind: "silent" }];
    let ended = "";
    const answer = setup.outcome({ idempotent: false }).then((l) => ended = l);
    await setup.upstream.waitForRequests(1);
    if (other === "a request") setup.reports.answer = "silent";
    await setup.clock.advance(400);
    if (other === "a request") assert.equal(await setup.outcome(), "200 done");
    await setup.clock.advance(599);
    assert.equal(ended, "");
    await setup.clock.advance(501);
    assert.equal(await answer, "upstream_failed outcome_unknown");
    await setup.upstream.waitFor(() => setup.upstream.received[0]!.closed);
    assert.notEqual(reportedUpstream(setup)?.state, "lost");
  });
}

// Guards against requests that are sent to an unreachable upstream for longer
// than section 6.3 of the design page allows, and against an upstream that
// stays lost after it has recovered.
test("an upstream that refuses connections is lost until it recovers", async (t) => {
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

// Guards against an upstream that is treated as lost after two failed
// connections although one between them was established.
test("a short interruption of connections is not a loss", async (t) => {
  const setup = await DispatchSetup.start(t);
  await setup.upstream.stopListening();
  await setup.outcome();
  await setup.upstream.listen();
  assert.equal(await setup.outcome(), "200 done");
  await setup.upstream.stopListening();
  await setup.outcome();
  assert.notEqual(reportedUpstream(setup)?.state, "lost");
});

// Guards against an upstream that accepts connections, never answers, and is
// still treated as reachable.
test("a frozen upstream is lost after a failed health check", async (t) => {
  const setup = await DispatchSetup.start(t, { slots: 1 });
  setup.upstream.steps = [{ kind: "silent" }];
  const answer = setup.outcome();
  const queued = setup.outcome();
  await setup.upstream.waitForRequests(1);
  setup.reports.answer = "silent";
  // The health check starts after 300 ms and times out after 1 s.
  await setup.clock.advance(1299);
  assert.notEqual(reportedUpstream(setup)?.state, "lost");
  await setup.clock.advance(501);
  assert.equal(reportedUpstream(setup)?.state, "lost");
  assert.equal(await queued, "upstream_unavailable not_run");
  // Its units are released at once; the sent request may still run.
  setup.applyReleases(["shard:0"]);
  assert.equal(await answer, "upstream_failed outcome_unknown");
  assert.equal(setup.pool.collectReport().released[0]?.readyInMs, 200);
});

// Guards against needless health polls, which cost the upstream processor time.
test("polls the health only as often as needed", async (t) => {
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

// Guards against new requests for an upstream that is shutting down (invariant 9
// of the design page).
test("reports a draining upstream and refuses its requests after 1 s", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.reports.answer = { state: "draining", boot: "b1" };
  await setup.clock.advance(1000);
  assert.equal(reportedUpstream(setup)?.state, "draining");
  assert.equal(await setup.outcome(), "200 done");
  await setup.clock.advance(1000);
  assert.equal(await setup.outcome(), "draining not_run");
});

// Guards against a request on a connection that was dropped while it was idle,
// and against idle connections that are never closed.
const idleCases = [
  { idleMs: 900, idempotent: false, reused: true },
  { idleMs: 1100, idempotent: false, reused: false },
  { idleMs: 3900, idempotent: true, reused: true },
  { idleMs: 4000, idempotent: true, reused: false },
];
for (const { idleMs, idempotent, reused } of idleCases) {
  test(`reuses or replaces a connection idle for ${idleMs} ms, idempotent: ${idempotent}`, async (t) => {
    const setup = await DispatchSetup.start(t, { connections: 3 });
    assert.equal(await setup.outcome(), "200 done");
    await setup.clock.advance(idleMs);
    if (idleMs >= 4000) {
      await setup.upstream.waitFor(() => setup.upstream.openConnections === 0);
    }
    assert.equal(await setup.outcome({ idempotent }), "200 done");
    const [first, second] = setup.upstream.received;
    assert.equal(first!.connection === second!.connection, reused);
    // One connection of three is usable; two are reserved for health checks and
    // grants.
    await setup.upstream.waitFor(() => setup.upstream.openConnections <= 1);
  });
}

// Guards against a dispatcher that sends a request before an upstream that
// checks grants holds the grant, and against a unit that stays in the grant
// after its release.
test("sends requests to an upstream that checks grants only after the grant", async (t) => {
  const setup = await DispatchSetup.start(t, { checksGrants: true });
  const { grants } = setup;
  assert.deepEqual(grants.held.units, ["shard:0", "shard:1"]);
  assert.equal(await setup.outcome(), "200 done");
  // A new unit, whose grant takes 100 ms to arrive.
  grants.deliveries = [{ requestMs: 100, responseMs: 0 }];
  setup.adoptRow(2, { shards: [0, 0, 0, 1] });
  const answer = setup.outcome({
    rowRevision: 2,
    digest: "0000000200000000",
  });
  await setup.clock.advance(99);
  assert.equal(reportedUpstream(setup)?.queued, 1);
  await setup.clock.advance(1);
  assert.equal(await answer, "200 done");
  // The smaller grant is lost, so the old one may apply until it expires.
  const lost = { requestMs: Infinity, responseMs: 0 };
  grants.deliveries = [lost, lost, lost, lost, lost, lost, lost, lost];
  setup.applyReleases(["shard:0"]);
  assert.deepEqual(setup.pool.collectReport().released, []);
  await setup.clock.advance(500);
  const [released] = setup.pool.collectReport().released;
  assert.ok(released !== undefined && released.readyInMs > 0);
  await setup.clock.advance(released.readyInMs);
  assert.equal(grants.serves("shard:0"), false);
  assert.equal(setup.pool.collectReport().released[0]?.readyInMs, 0);
});

// Guards against a dispatcher that continues after another one has taken over.
test("a grant of a later dispatch term ends the term", async (t) => {
  const setup = await DispatchSetup.start(t, { checksGrants: true });
  setup.grants.held = { ...setup.grants.held, epoch: 8, dispatcher: "y" };
  const changed = setup.pool.reportChanged();
  await setup.clock.advance(500);
  await changed;
  assert.deepEqual(setup.pool.collectReport().tenures, []);
  assert.equal(await setup.outcome(), NOT_DISPATCHER);
});

// Guards against a request that runs and counts as refused, and then runs at
// another upstream: a refusal is written a second time on a kept connection.
test("sends no request on a connection after a refusal", async (t) => {
  const setup = await DispatchSetup.start(t);
  setup.upstream.steps = [
    {
      kind: "answer",
      status: 503,
      headers: { "fescuerun-not-run": "full" },
    },
  ];
  assert.equal(await setup.outcome(), "upstream_unavailable not_run");
  // A connection returns to the pool in a later turn of the event loop.
  await setup.clock.advance(10);
  assert.equal(await setup.outcome(), "200 done");
  const [refused, next] = setup.upstream.received;
  assert.notEqual(next!.connection, refused!.connection);
});
