import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { listenOn } from "../../dev/standins/listen_on.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import type { Route } from "../../src/direct/route.ts";
import { FleetRig } from "../support/fleet_rig.ts";
import { RawUpstream } from "../support/raw_upstream.ts";
import { testCall } from "../support/test_call.ts";
import { testDirectRouter } from "../support/test_direct_router.ts";

type Behaviour =
  | "leave"
  | "misdirect and leave"
  | "pause"
  | "ok"
  | "reject"
  | "reset"
  | "fail"
  | "misdirect"
  | "silent";

const ID = "9c41d07be2a35f68";

function reply(status: string, headers = "", body = "body"): string {
  return `HTTP/1.1 ${status}\r\nFescuerun-Request-Id: ${ID}\r\n${headers}` +
    `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function behave(socket: Socket, behaviour: Behaviour): void {
  switch (behaviour) {
    case "ok":
      socket.write(reply("200 OK", "Fescuerun-Response-Signature: s\r\n"));
      break;
    case "leave":
      socket.write(
        reply(
          "200 OK",
          "Fescuerun-Response-Signature: s\r\nServer-Leaving: 1\r\n",
        ),
      );
      break;
    case "misdirect and leave":
      socket.write(
        reply("421 X", "Fescuerun-Not-Executed: 1\r\nServer-Leaving: 1\r\n"),
      );
      break;
    case "pause":
      socket.write(
        reply("503 Full", "Fescuerun-Not-Executed: 1\r\nRetry-After: 30\r\n"),
      );
      break;
    case "reject":
      socket.write(reply("503 Full", "Fescuerun-Not-Executed: 1\r\n"));
      break;
    case "reset":
      socket.resetAndDestroy();
      break;
    case "fail":
      socket.write(reply("500 X", "Fescuerun-Response-Signature: s\r\n"));
      break;
    case "misdirect":
      socket.write(
        reply("421 X", "Fescuerun-Instance-Id: other\r\n"),
      );
      break;
    case "silent":
      break;
  }
}

/** Sends one request through a router to upstreams with given behaviours. */
async function serve(
  behaviours: Behaviour[],
  fields: Partial<Route>,
  options: {
    slack?: number;
    disconnected?: AbortSignal;
    /** Number of requests, one after the other. */
    calls?: number;
    /** Time until the router stops, in milliseconds. */
    stopMs?: number;
  } = {},
) {
  const rig = new FleetRig(systemClock, 1);
  const route = rig.route({ maxUpstreams: 3, ...fields });
  rig.configure([route]);
  const runs: number[] = behaviours.map(() => 0);
  const raws = await Promise.all(
    behaviours.map((behaviour, index) =>
      new RawUpstream((socket) => {
        runs[index] = (runs[index] ?? 0) + 1;
        behave(socket, behaviour);
      }).listen()
    ),
  );
  rig.view.setRegistry([]);
  for (const [index, raw] of raws.entries()) {
    rig.upstream({
      id: `u-${index}`,
      address: `127.0.0.1:${raw.port}`,
      // The first upstream is the nearest.
      failureDomain: index === 0 ? "a1" : "b1",
    });
  }
  const router = testDirectRouter(rig, options.slack ?? 50);
  if (options.stopMs !== undefined) router.stopWithin(options.stopMs);
  const handle = () =>
    router.handle(
      testCall({
        method: "POST",
        receivedAt: systemClock.now(),
        deadlineMs: 700,
      }),
      options.disconnected ?? new AbortController().signal,
    );
  let outcome = await handle();
  for (let call = 1; call < (options.calls ?? 1); call++) {
    outcome = await handle();
  }
  for (const upstream of rig.view.upstreams) upstream.close();
  for (const raw of raws) raw.close();
  return { outcome, runs };
}

function summary(outcome: Awaited<ReturnType<typeof serve>>["outcome"]) {
  switch (outcome.kind) {
    case "answered":
      return outcome.status;
    case "refused":
      return `${outcome.refusal.code}, ${outcome.refusal.outcome}`;
    case "gone":
      return "gone";
  }
}

describe("DirectRouter", () => {
  // Time until the router stops, latency objective of the route (3 times its
  // assumed run time), and the outcome. The caller's deadline is 700 ms. Guards
  // against requests that are sent to an upstream late in a planned stop and end
  // with the process, without an answer.
  const stops: [number, number, string | number, number[]][] = [
    [10_000, 1500, 200, [1]],
    [750, 1500, 200, [1]],
    [650, 1500, "draining, not_run", [0]],
    [650, 900, 200, [1]],
    [500, 900, "draining, not_run", [0]],
    [0, 300, "draining, not_run", [0]],
  ];
  for (const [stopMs, objectiveMs, expected, runs] of stops) {
    it(`stops within ${stopMs} ms, objective ${objectiveMs} ms: ${expected}`, async () => {
      const served = await serve(["ok"], { objectiveMs }, { stopMs });
      assert.equal(summary(served.outcome), expected);
      assert.deepEqual(served.runs, runs);
      if (served.outcome.kind === "refused") {
        assert.equal(served.outcome.retryAfterMs, 0);
      }
    });
  }

  // Whether the request is idempotent, the behaviour of each upstream in the
  // order of preference, the outcome for the caller, and the number of requests
  // that each upstream received.
  const cases: [boolean, Behaviour[], string | number, number[]][] = [
    [false, ["ok"], 200, [1]],
    // A request that an upstream has not run may be sent to another one.
    [false, ["reject", "ok"], 200, [1, 1]],
    [false, ["misdirect", "ok"], 200, [1, 1]],
    // Guards against retries of a non-idempotent request that may have run.
    [false, ["reset", "ok"], "upstream_failed, outcome_unknown", [1, 0]],
    [false, ["silent", "ok"], "deadline_exceeded, outcome_unknown", [1, 0]],
    [false, ["fail", "ok"], 500, [1, 0]],
    [true, ["reset", "ok"], 200, [1, 1]],
    [true, ["fail", "ok"], 200, [1, 1]],
    // A request is hedged when the first upstream takes far too long.
    [true, ["silent", "ok"], 200, [1, 1]],
    [true, ["fail"], 500, [1]],
    [true, ["reject", "reject", "reject"], "overloaded, not_run", [1, 1, 1]],
  ];
  for (const [idempotent, behaviours, expected, runs] of cases) {
    const kind = idempotent ? "idempotent" : "non-idempotent";
    it(`${kind}, upstreams ${behaviours.join(", ")}: ${expected}`, async () => {
      const served = await serve(behaviours, { idempotent });
      assert.equal(summary(served.outcome), expected);
      assert.deepEqual(served.runs, runs);
    });
  }

  // The behaviour of the nearest upstream, and the requests that it and the
  // other one get out of five.
  const withdrawn: [Behaviour, number[]][] = [
    ["leave", [1, 4]],
    ["misdirect and leave", [1, 5]],
    ["pause", [1, 5]],
  ];
  for (const [behaviour, runs] of withdrawn) {
    it(`sends nothing more to an upstream after ${behaviour}`, async () => {
      const served = await serve([behaviour, "ok"], { idempotent: false }, {
        calls: 5,
      });
      assert.equal(summary(served.outcome), 200);
      assert.deepEqual(served.runs, runs);
    });
  }

  it("does not retry when the retry budget is empty", async () => {
    const served = await serve(["reject", "ok"], {}, { slack: 0 });
    assert.equal(summary(served.outcome), "overloaded, not_run");
  });

  it("sends a request to at most `maxUpstreams` upstreams", async () => {
    const served = await serve(["fail", "fail", "fail"], { maxUpstreams: 2 });
    assert.equal(summary(served.outcome), 500);
    assert.equal(served.runs.reduce((sum, count) => sum + count, 0), 2);
  });

  it("sends nothing for a caller that has disconnected", async () => {
    const served = await serve(["ok"], {}, {
      disconnected: AbortSignal.abort(),
    });
    assert.equal(served.outcome.kind, "gone");
    assert.deepEqual(served.runs, [0]);
  });

  // All VMs restart at the same time, and all callers return before the
  // configuration has been read. Guards against refusals that use up the
  // callers' retries.
  it("holds a request until the configuration is read", async () => {
    const rig = FleetRig.manual();
    const router = testDirectRouter(rig, 5);
    const sendRequest = () =>
      router.handle({
        requestId: ID,
        method: "GET",
        target: "/unknown/",
        host: "h.example",
        headers: {},
        body: undefined,
        receivedAt: rig.clock.now(),
        deadlineMs: 1000,
        key: undefined,
      }, new AbortController().signal);
    const early = sendRequest();
    await rig.clock.advance(100);
    rig.configure([rig.route()]);
    rig.view.setRegistry([]);
    assert.equal(summary(await early), "unknown_entry, not_run");
    const fresh = FleetRig.manual();
    assert.ok(!fresh.view.complete);
  });

  it("refuses without waiting if there is no configuration 5 s after start", async () => {
    const rig = FleetRig.manual();
    const router = testDirectRouter(rig, 5);
    await rig.clock.advance(5000);
    const outcome = await router.handle({
      requestId: ID,
      method: "GET",
      target: "/a/",
      host: "h.example",
      headers: {},
      body: undefined,
      receivedAt: rig.clock.now(),
      deadlineMs: 1000,
      key: undefined,
    }, new AbortController().signal);
    assert.equal(summary(outcome), "router_not_current, not_run");
    assert.ok(outcome.kind === "refused" && outcome.retryAfterMs !== undefined);
  });

  // Guards against callers that wait for the next regular read of the key
  // owners, and against a read for each request that an owner is too busy to
  // serve.
  for (
    const { name, behaviour, slots, previous, stale } of [
      { name: "misdirected", behaviour: "misdirect", slots: 2, stale: true },
      {
        name: "waiting for a key that is being reassigned",
        behaviour: "ok",
        slots: 2,
        previous: [{ id: "u-1", incarnation: 1, fence: 1 }],
        stale: true,
      },
      { name: "served", behaviour: "ok", slots: 2, stale: false },
      { name: "refused as too busy", behaviour: "ok", slots: 0.01 },
    ] as const
  ) {
    it(`${name}: ownership is ${stale ? "" : "not "}refreshed`, async () => {
      const rig = new FleetRig(systemClock, 1);
      rig.configure([rig.route()], [{ keyed: true }]);
      const raw = await new RawUpstream((socket) => behave(socket, behaviour))
        .listen();
      rig.view.setRegistry([]);
      rig.upstream({ id: "u-1", address: `127.0.0.1:${raw.port}`, slots });
      rig.owners({ id: "u-1", previous: [...previous ?? []] });
      let refreshes = 0;
      const router = testDirectRouter(rig, 50, () => refreshes++);
      await router.handle({
        requestId: ID,
        method: "POST",
        target: "/a/x",
        host: "h.example",
        headers: {},
        body: undefined,
        receivedAt: systemClock.now(),
        deadlineMs: 700,
        key: 7,
      }, new AbortController().signal);
      for (const upstream of rig.view.upstreams) upstream.close();
      raw.close();
      assert.equal(refreshes > 0, stale ?? false);
    });
  }

  // Load pattern: keys move in a deployment with 81 upstreams, whose other
  // changes end each wait at once. Guards against a refusal after four changes
  // that have nothing to do with the request's key.
  it("waits for its key although other upstreams change", async () => {
    const rig = FleetRig.manual();
    rig.configure([rig.route()], [{ keyed: true }]);
    rig.view.setRegistry([]);
    rig.upstream({ id: "u-1" });
    const moving = { id: "u-2", incarnation: 1, fence: 1 };
    rig.upstream({ id: "u-2" });
    rig.owners({ id: "u-1", previous: [moving] });
    let ended = false;
    void testDirectRouter(rig, 50).handle({
      requestId: ID,
      method: "POST",
      target: "/a/x",
      host: "h.example",
      headers: {},
      body: undefined,
      receivedAt: rig.clock.now(),
      deadlineMs: 4000,
      key: 7,
    }, new AbortController().signal).then(() => {
      ended = true;
    });
    for (let change = 0; change < 8; change++) {
      await rig.clock.advance(40);
      rig.upstream({ id: "u-3", slots: change + 1 });
    }
    assert.equal(ended, false);
    await rig.clock.advance(3000);
    assert.equal(ended, true);
  });
});

describe("DirectRouter with an owner that resets new connections", () => {
  // The owner of a hot key has a long queue. Guards against a request that
  // never reached the owner but ends with 502, after which its caller may not
  // retry. Also guards against a refusal of the request although the owner
  // accepts one of the next connections.
  for (
    const { name, resets, kind } of [
      {
        name: "serves the request when a later connection is accepted",
        resets: 2,
        kind: "200",
      },
      {
        name: "refuses the request as not run when none is accepted",
        resets: 99,
        kind: "upstream_unavailable",
      },
    ]
  ) {
    it(name, async () => {
      const rig = new FleetRig(systemClock, 1);
      rig.configure([rig.route({ idempotent: false })], [{ keyed: true }]);
      let remainingResets = resets;
      const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", () => behave(socket, "ok"));
        if (remainingResets > 0) socket.resetAndDestroy();
        remainingResets--;
      });
      const port = await listenOn(server, 0);
      rig.view.setRegistry([]);
      rig.upstream({ id: "u-0", address: `127.0.0.1:${port}` });
      rig.owners({ id: "u-0" });
      const outcome = await testDirectRouter(rig, 50).handle(
        testCall({
          method: "POST",
          receivedAt: systemClock.now(),
          deadlineMs: 1000,
          key: 7,
        }),
        new AbortController().signal,
      );
      for (const upstream of rig.view.upstreams) upstream.close();
      server.close();
      if (outcome.kind === "refused") {
        assert.equal(outcome.refusal.outcome, "not_run");
      }
      const found = outcome.kind === "answered"
        ? String(outcome.status)
        : outcome.kind === "refused"
        ? outcome.refusal.code
        : outcome.kind;
      assert.equal(found, kind);
    });
  }
});

describe("DirectRouter, a caller that disconnects after the send", () => {
  // Guards against upstreams that keep working for disconnected callers, and
  // against a non-idempotent request that is interrupted while it runs.
  for (
    const { name, idempotent, closed } of [
      { name: "aborts an idempotent request", idempotent: true, closed: true },
      {
        name: "completes a non-idempotent one",
        idempotent: false,
        closed: false,
      },
    ]
  ) {
    it(name, async () => {
      const rig = new FleetRig(systemClock, 1);
      rig.configure([rig.route({ idempotent })]);
      const seen = { sent: false, closed: false };
      const raw = await new RawUpstream((socket) => {
        seen.sent = true;
        socket.once("close", () => {
          seen.closed = true;
        });
      }).listen();
      rig.view.setRegistry([]);
      rig.upstream({ id: "u-0", address: `127.0.0.1:${raw.port}` });
      const disconnected = new AbortController();
      const outcome = testDirectRouter(rig, 50).handle(
        testCall({ receivedAt: systemClock.now(), deadlineMs: 600 }),
        disconnected.signal,
      );
      while (!seen.sent) await systemClock.sleep(5);
      disconnected.abort();
      await systemClock.sleep(150);
      assert.equal(seen.closed, closed);
      await outcome;
      for (const upstream of rig.view.upstreams) upstream.close();
      raw.close();
    });
  }

  // Guards against a caller that has sent its end, still reads, and gets no
  // answer to a request that an upstream runs.
  for (
    const { idempotent, expected } of [
      { idempotent: true, expected: "gone" },
      { idempotent: false, expected: 200 },
    ]
  ) {
    it(`gives a half-closed caller ${expected}, idempotent: ${idempotent}`, async () => {
      const rig = new FleetRig(systemClock, 1);
      rig.configure([rig.route({ idempotent })]);
      const ended = new AbortController();
      const raw = await new RawUpstream((socket) => {
        ended.abort();
        setImmediate(() => behave(socket, "ok"));
      }).listen();
      rig.view.setRegistry([]);
      rig.upstream({ id: "u-0", address: `127.0.0.1:${raw.port}` });
      const outcome = await testDirectRouter(rig, 50).handle(
        testCall({ receivedAt: systemClock.now(), deadlineMs: 5000 }),
        ended.signal,
        new AbortController().signal,
      );
      assert.equal(summary(outcome), expected);
      for (const upstream of rig.view.upstreams) upstream.close();
      raw.close();
    });
  }
});
