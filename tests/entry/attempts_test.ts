import assert from "node:assert/strict";
import { once } from "node:events";
import { Readable } from "node:stream";
import { test } from "node:test";
import type { Refusal } from "../../src/base/refusal.ts";
import { CallerBodyStream } from "../../src/entry/caller_body_stream.ts";
import { ExpiryWatch } from "../../src/entry/expiry_watch.ts";
import type { DispatchOutcome } from "../../src/upstreams/dispatch_outcome.ts";
import type { DispatchRequest } from "../../src/upstreams/dispatch_request.ts";
import { EntryRig } from "../support/entry_rig.ts";
import { FakeDispatching } from "../support/fake_dispatching.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { testCatalogue } from "../support/test_catalogue.ts";

const { echo, refuse } = FakeDispatching;
const DIGEST = "00000000deadbeef";

function setUp(fake: FakeDispatching, held = 1000) {
  const clock = new ManualClock();
  const rig = new EntryRig({ local: fake, clock, held });
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
const point = (
  code: Refusal["code"],
  failurePoint: string,
): Step => refuse(code, "not_run", { failurePoint });

// Columns: what happens first, then to the second attempt, for a request that
// is not idempotent and for one that is. `sends` is the number of attempts.
const table: {
  name: string;
  step: Step;
  once: [result: string, sends: number];
  idempotent: [result: string, sends: number];
}[] = [
  {
    name: "connect refused",
    step: refuse("upstream_unavailable"),
    once: ["200", 2],
    idempotent: ["200", 2],
  },
  ...(["not_owner", "not_dispatcher", "queue_full", "draining"] as const)
    .map((code) => ({
      name: `dispatcher says ${code}`,
      step: refuse(code),
      once: ["200", 2] as [string, number],
      idempotent: ["200", 2] as [string, number],
    })),
  {
    name: "upstream says fescuerun-not-run",
    step: point("upstream_unavailable", "refused_by_upstream"),
    once: ["200", 2],
    idempotent: ["200", 2],
  },
  {
    name: "connected, nothing sent",
    step: point("upstream_unavailable", "nothing_sent"),
    once: ["200", 2],
    idempotent: ["200", 2],
  },
  {
    name: "sent, no answer",
    step: refuse("upstream_failed", unknown),
    once: ["upstream_failed outcome_unknown", 1],
    idempotent: ["200", 2],
  },
  {
    name: "deadline passed while queued",
    step: refuse("deadline_exceeded"),
    once: ["deadline_exceeded not_run", 1],
    idempotent: ["deadline_exceeded not_run", 1],
  },
  {
    name: "deadline passed after sending",
    step: refuse("deadline_exceeded", unknown),
    once: ["deadline_exceeded outcome_unknown", 1],
    idempotent: ["deadline_exceeded outcome_unknown", 1],
  },
  {
    name: "an outcome that is open is not taken for a promise",
    step: refuse("not_owner", unknown),
    once: ["upstream_failed outcome_unknown", 1],
    idempotent: ["200", 2],
  },
  {
    name: "a refusal for good",
    step: refuse("body_too_large"),
    once: ["body_too_large not_run", 1],
    idempotent: ["body_too_large not_run", 1],
  },
];

for (const { name, step, once, idempotent } of table) {
  test(`one failure: ${name}`, async () => {
    for (const [repeatable, want] of [[false, once], [true, idempotent]]) {
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

test("failures that go on end by the limits of retries", async (t) => {
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
      name: "held for 5 s, 50 ms apart",
      step: refuse("not_owner"),
      result: "upstream_unavailable not_run",
      sends: 101,
      at: 5000,
    },
    {
      name: "held until the deadline",
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

  await t.test("a later not_run does not hide an earlier send", async () => {
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

  await t.test("an empty retry budget ends retries", async () => {
    const fake = new FakeDispatching(refuse("upstream_failed", unknown));
    const { rig, adopt } = setUp(fake);
    adopt(1);
    for (let i = 0; i < 20; i++) await run(rig, { idempotent: true });
    assert.equal(fake.requests.length, 30, "20 requests and 10 retries");
    rig.stop();
  });
});

test("a held request continues with the newer row", async () => {
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
  assert.equal(rig.hold.held, 0);
  rig.stop();
});

test("at most the configured number of requests is held", async () => {
  const fake = new FakeDispatching(refuse("not_owner"));
  const { clock, rig, adopt } = setUp(fake, 2);
  adopt(1);
  const outcomes = [run(rig), run(rig), run(rig)];
  assert.equal(
    summary(await outcomes[2]!),
    "upstream_unavailable not_run",
  );
  assert.equal(rig.hold.held, 2);
  await clock.advance(6000);
  await Promise.all(outcomes);
  assert.equal(rig.hold.held, 0);
  rig.stop();
});

test("1,000 held requests make at most 500 attempts a second", async () => {
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

test("an answer wakes the next two held requests for its upstream", async () => {
  let free = 0;
  const fake = new FakeDispatching((req, signal) =>
    free-- > 0 ? echo()(req, signal) : refuse("queue_full")(req, signal)
  );
  const { clock, rig, adopt } = setUp(fake);
  adopt(1);
  const outcomes = Array.from({ length: 100 }, () => run(rig));
  await clock.advance(0);
  free = 1;
  await run(rig);
  await clock.advance(0);
  assert.equal(fake.requests.length, 100 + 1 + 2);
  free = 1000;
  // One answer is enough for the others, which wake each other in turn.
  await run(rig);
  const ended = await Promise.all(outcomes);
  assert.equal(clock.now(), 0);
  assert.deepEqual([...new Set(ended.map(summary))], ["200"]);
  rig.stop();
});

test("a caller that goes away ends the hold", async () => {
  const { rig, adopt } = setUp(new FakeDispatching(refuse("not_owner")));
  adopt(1);
  const end = new AbortController();
  const outcome = run(rig, {}, end);
  await new Promise((resolve) => setImmediate(resolve));
  end.abort();
  await outcome;
  assert.equal(rig.hold.held, 0);
  rig.stop();
});

test("a pinned key goes to the upstream of its pin", async () => {
  const fake = new FakeDispatching(echo());
  const { rig } = setUp(fake);
  const row = testCatalogue.row({ upstreams: ["u1", "u2"] });
  rig.assignments.adopt(1, { ...row, pins: { [DIGEST]: "u2" } });
  await run(rig);
  assert.equal(fake.requests[0]?.upstream, "u2");
  rig.stop();
});

test("a long body is sent again only while nothing was read", async () => {
  const read: Step = async (req) => {
    const body = req.body as Readable;
    await once(body, "readable");
    // The rest is still there, but what was read is gone.
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
      limit: 100,
      pauseMs: 1000,
      clock,
      watch: new ExpiryWatch(clock, rig.end.signal),
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

test("services without keys try another upstream at once", async (t) => {
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
  await t.test("while there is another", async () => {
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
  await t.test("three without a pause", async () => {
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
  await t.test("the only one again after 50 ms", async () => {
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
