import assert from "node:assert/strict";
import { once } from "node:events";
import { Readable } from "node:stream";
import { test } from "node:test";
import type { Refusal } from "../../src/base/refusal.ts";
import { CallerBodyStream } from "../../src/entry/caller_body_stream.ts";
import { ExpiryTimer } from "../../src/entry/expiry_timer.ts";
import type { DispatchOutcome } from "../../src/upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../../src/upstreams/dispatch_request.ts";
import { EntryRig } from "../support/entry_rig.ts";
import { FakeDispatching } from "../support/fake_dispatching.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { testCatalogue } from "../support/test_catalogue.ts";

const { echo, refuse } = FakeDispatching;
const DIGEST = "00000000deadbeef";

function setUp(fake: FakeDispatching, maxHeld = 1000) {
  const clock = new ManualClock();
  const rig = new EntryRig({ local: fake, clock, maxHeld });
  const adopt = (revision: number, opts = {}) =>
    rig.assignments.adopt(revision, testCatalogue.row(opts));
  return { clock, rig, adopt };
}

function run(
  rig: EntryRig,
  changes: Partial<DispatchRequest> = {},
  end = new AbortController(),
): Promise<DispatchOutcome> {
  return rig.attempts.run({
    request: {
      requestId: "i",
      entry: "e",
      class: "interactive",
      service: "s",
      digest: DIGEST,
      idempotent: false,
      checksGrants: true,
      deadlineAt: 8000,
      method: "POST",
      target: "/",
      headers: {},
      body: Buffer.from("body"),
      ...changes,
    },
    homeRegions: ["sierra"],
    shards: 4,
  }, end.signal);
}

function summary(outcome: DispatchOutcome): string {
  return outcome.kind === "response"
    ? `${outcome.status}`
    : `${outcome.refusal.code} ${outcome.refusal.outcome}`;
}

const unknown = "outcome_unknown";
type Step = ReturnType<typeof refuse>;
const refuseAt = (
  code: Refusal["code"],
  failurePoint: string,
): Step => refuse(code, "not_run", { failurePoint });

// `step` is the outcome of the first attempt; the second one succeeds. The
// other columns are the result and the number of attempts, for a request that
// is not idempotent and for one that is.
const table: {
  name: string;
  step: Step;
  notIdempotent: [result: string, sends: number];
  idempotent: [result: string, sends: number];
}[] = [
  {
    name: "connection refused",
    step: refuse("upstream_unavailable"),
    notIdempotent: ["200", 2],
    idempotent: ["200", 2],
  },
  ...(["not_owner", "not_dispatcher", "queue_full", "draining"] as const)
    .map((code) => ({
      name: `dispatcher refuses with ${code}`,
      step: refuse(code),
      notIdempotent: ["200", 2] as [string, number],
      idempotent: ["200", 2] as [string, number],
    })),
  {
    name: "upstream responds with fescuerun-not-run",
    step: refuseAt("upstream_unavailable", "refused_by_upstream"),
    notIdempotent: ["200", 2],
    idempotent: ["200", 2],
  },
  {
    name: "connected, nothing sent",
    step: refuseAt("upstream_unavailable", "nothing_sent"),
    notIdempotent: ["200", 2],
    idempotent: ["200", 2],
  },
  {
    name: "sent, no response",
    step: refuse("upstream_failed", unknown),
    notIdempotent: ["upstream_failed outcome_unknown", 1],
    idempotent: ["200", 2],
  },
  {
    name: "deadline passes while queued",
    step: refuse("deadline_exceeded"),
    notIdempotent: ["deadline_exceeded not_run", 1],
    idempotent: ["deadline_exceeded not_run", 1],
  },
  {
    name: "deadline passes after sending",
    step: refuse("deadline_exceeded", unknown),
    notIdempotent: ["deadline_exceeded outcome_unknown", 1],
    idempotent: ["deadline_exceeded outcome_unknown", 1],
  },
  {
    name: "an unknown outcome overrides a code that implies not_run",
    step: refuse("not_owner", unknown),
    notIdempotent: ["upstream_failed outcome_unknown", 1],
    idempotent: ["200", 2],
  },
  {
    name: "a refusal that a retry cannot change",
    step: refuse("body_too_large"),
    notIdempotent: ["body_too_large not_run", 1],
    idempotent: ["body_too_large not_run", 1],
  },
];

for (const { name, step, notIdempotent, idempotent } of table) {
  test(`outcome after one failed attempt: ${name}`, async () => {
    for (
      const [repeatable, want] of [[false, notIdempotent], [true, idempotent]]
    ) {
      const fake = new FakeDispatching(step, echo());
      const { clock, rig, adopt } = setUp(fake);
      adopt(1);
      const outcome = run(rig, { idempotent: repeatable === true });
      await clock.advance(50);
      assert.deepEqual([summary(await outcome), fake.requests.length], want);
      rig.stop();
    }
  });
}

test("limits end the retries of repeated failures", async (t) => {
  const cases: {
    name: string;
    step: Step;
    request?: Partial<DispatchRequest>;
    result: string;
    sends: number;
    at: number;
  }[] = [
    {
      name: "at most three sends",
      step: refuse("upstream_failed", unknown),
      request: { idempotent: true },
      result: "upstream_failed outcome_unknown",
      sends: 3,
      at: 0,
    },
    {
      name: "held for at most 5 s, retried every 50 ms",
      step: refuse("not_owner"),
      result: "upstream_unavailable not_run",
      sends: 101,
      at: 5000,
    },
    {
      name: "held at most until the deadline",
      step: refuse("not_owner"),
      request: { deadlineAt: 1020 },
      result: "deadline_exceeded not_run",
      sends: 21,
      at: 1020,
    },
  ];
  for (const { name, step, request, result, sends, at } of cases) {
    await t.test(name, async () => {
      const fake = new FakeDispatching(step);
      const { clock, rig, adopt } = setUp(fake);
      adopt(1);
      let endedAt = -1;
      const outcome = run(rig, request).finally(() => endedAt = clock.now());
      await clock.advance(6000);
      assert.equal(summary(await outcome), result);
      assert.deepEqual([fake.requests.length, endedAt], [sends, at]);
      rig.stop();
    });
  }

  await t.test("a not_run of the last attempt does not hide an earlier unknown outcome", async () => {
    const fake = new FakeDispatching(
      refuse("upstream_failed", unknown),
      refuse("body_too_large"),
    );
    const { rig, adopt } = setUp(fake);
    adopt(1);
    const outcome = await run(rig, { idempotent: true });
    assert.equal(summary(outcome), "upstream_failed outcome_unknown");
    rig.stop();
  });

  await t.test("an exhausted retry budget ends retries", async () => {
    const fake = new FakeDispatching(refuse("upstream_failed", unknown));
    const { rig, adopt } = setUp(fake);
    adopt(1);
    for (let i = 0; i < 20; i++) await run(rig, { idempotent: true });
    assert.equal(fake.requests.length, 30, "20 requests and 10 retries");
    rig.stop();
  });
});

test("a held request is retried as soon as a newer row arrives", async () => {
  const fake = new FakeDispatching(refuse("not_owner"), echo());
  const { clock, rig, adopt } = setUp(fake);
  const outcome = run(rig);
  await clock.advance(20);
  assert.equal(fake.requests.length, 0, "no dispatcher is known");
  adopt(1);
  await clock.advance(20);
  assert.equal(fake.requests.length, 1);
  adopt(2, { upstreams: ["u1", "u2"], shards: [1, 1, 1, 1] });
  assert.equal(summary(await outcome), "200");
  assert.deepEqual(
    fake.requests.map((req) => [req.upstream, req.rowRevision]),
    [["u1", 1], ["u2", 2]],
  );
  assert.equal(rig.hold.heldCount, 0);
  rig.stop();
});

test("requests beyond the maximum number of held ones are refused", async () => {
  const fake = new FakeDispatching(refuse("not_owner"));
  const { clock, rig, adopt } = setUp(fake, 2);
  adopt(1);
  const outcomes = [run(rig), run(rig), run(rig)];
  assert.equal(
    summary(await outcomes[2]!),
    "upstream_unavailable not_run",
  );
  assert.equal(rig.hold.heldCount, 2);
  await clock.advance(6000);
  await Promise.all(outcomes);
  assert.equal(rig.hold.heldCount, 0);
  rig.stop();
});

test("1,000 held requests make about 500 attempts per second", async () => {
  const fake = new FakeDispatching(refuse("queue_full"));
  const { clock, rig, adopt } = setUp(fake);
  adopt(1);
  const outcomes = Array.from({ length: 1000 }, () => run(rig));
  await clock.advance(2100);
  const before = fake.requests.length;
  await clock.advance(2000);
  const attempts = fake.requests.length - before;
  assert.ok(attempts <= 1100, `${attempts} attempts in 2 s`);
  assert.ok(attempts >= 900, `${attempts} attempts in 2 s`);
  await clock.advance(4000);
  await Promise.all(outcomes);
  rig.stop();
});

test("a response wakes the next two held requests for its upstream", async () => {
  let freeSlots = 0;
  const fake = new FakeDispatching((req, signal) =>
    freeSlots-- > 0 ? echo()(req, signal) : refuse("queue_full")(req, signal)
  );
  const { clock, rig, adopt } = setUp(fake);
  adopt(1);
  const outcomes = Array.from({ length: 100 }, () => run(rig));
  await clock.advance(0);
  freeSlots = 1;
  await run(rig);
  await clock.advance(0);
  assert.equal(fake.requests.length, 100 + 1 + 2);
  freeSlots = 1000;
  // One response suffices: the woken requests wake the others in turn.
  await run(rig);
  const ended = await Promise.all(outcomes);
  assert.equal(clock.now(), 0);
  assert.deepEqual([...new Set(ended.map(summary))], ["200"]);
  rig.stop();
});

test("a caller that disconnects ends the hold of its request", async () => {
  const { rig, adopt } = setUp(new FakeDispatching(refuse("not_owner")));
  adopt(1);
  const end = new AbortController();
  const outcome = run(rig, {}, end);
  await new Promise((resolve) => setImmediate(resolve));
  end.abort();
  await outcome;
  assert.equal(rig.hold.heldCount, 0);
  rig.stop();
});

test("a request with a pinned key goes to the upstream of the pin", async () => {
  const fake = new FakeDispatching(echo());
  const { rig } = setUp(fake);
  const row = testCatalogue.row({ upstreams: ["u1", "u2"] });
  rig.assignments.adopt(1, { ...row, pins: { [DIGEST]: "u2" } });
  await run(rig);
  assert.equal(fake.requests[0]?.upstream, "u2");
  rig.stop();
});

test("a streamed body is sent again only if nothing was read from it", async () => {
  const read: Step = async (req) => {
    const body = req.body as Readable;
    await once(body, "readable");
    // The bytes that were read cannot be sent again, the others could.
    body.read(3);
    return { kind: "refused", refusal: refusal("not_owner") };
  };
  const refusal = (code: Refusal["code"]): Refusal => ({
    code,
    outcome: "not_run",
    message: "",
  });
  const cases: [string, Step, string, number][] = [
    ["unread", refuse("not_owner"), "200", 2],
    ["read", read, "upstream_unavailable not_run", 1],
  ];
  for (const [name, first, result, sends] of cases) {
    const fake = new FakeDispatching(first, echo());
    const { clock, rig, adopt } = setUp(fake);
    adopt(1);
    const body = new CallerBodyStream({
      source: Readable.from([Buffer.from("a"), Buffer.from("b")]),
      prefix: [Buffer.from("prefix ")],
      maxBytes: 100,
      maxPauseMs: 1000,
      clock,
      timer: new ExpiryTimer(clock, rig.stopping.signal),
      onStart: () => undefined,
    });
    const outcome = run(rig, { body });
    await clock.advance(50);
    const ended = await outcome;
    assert.deepEqual([summary(ended), fake.requests.length], [result, sends]);
    if (ended.kind === "response") {
      const parts = await ended.body.toArray() as Buffer[];
      assert.equal(Buffer.concat(parts).toString(), "prefix ab", name);
    }
    rig.stop();
  }
});

test("requests of services without keys retry at another upstream", async (t) => {
  const register = (rig: EntryRig) =>
    rig.members.set("r1", {
      schema: 1,
      vm: "r1",
      incarnation: "i",
      region: "sierra",
      failureDomain: "d1",
      peerUrl: "http://127.0.0.1:1",
      witnesses: [],
    });
  await t.test("without a pause while an untried upstream is live", async () => {
    const fake = new FakeDispatching(
      refuse("queue_full"),
      refuse("upstream_unavailable"),
      echo(),
    );
    const { rig, adopt, clock } = setUp(fake);
    register(rig);
    adopt(1, { upstreams: ["u1", "u2", "u3"] });
    assert.equal(summary(await run(rig, { digest: undefined })), "200");
    assert.equal(clock.now(), 0);
    assert.equal(new Set(fake.requests.map((req) => req.upstream)).size, 3);
    rig.stop();
  });
  await t.test("at most three upstreams without a pause", async () => {
    const fake = new FakeDispatching(refuse("queue_full"));
    const { rig, adopt, clock } = setUp(fake);
    register(rig);
    adopt(1, { upstreams: ["u1", "u2", "u3", "u4", "u5"] });
    const outcome = run(rig, { digest: undefined, deadlineAt: 40 });
    await clock.advance(0);
    assert.equal(fake.requests.length, 3);
    await clock.advance(40);
    assert.equal(summary(await outcome), "deadline_exceeded not_run");
    rig.stop();
  });
  await t.test("at the only upstream after 50 ms", async () => {
    const fake = new FakeDispatching(refuse("queue_full"), echo());
    const { rig, adopt, clock } = setUp(fake);
    register(rig);
    adopt(1);
    const outcome = run(rig, { digest: undefined });
    await clock.advance(49);
    assert.equal(fake.requests.length, 1);
    await clock.advance(1);
    assert.equal(summary(await outcome), "200");
    rig.stop();
  });
});
