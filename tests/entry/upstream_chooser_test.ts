import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamChooser } from "../../src/entry/upstream_chooser.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { MemberView } from "../../src/vms/member_view.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { testCatalogue } from "../support/test_catalogue.ts";

const REGIONS = ["costa", "sierra"];

function setUp(own: string[], other: string[]) {
  const clock = new ManualClock();
  const assignments = new AssignmentView();
  const members = new MemberView();
  const add = (vm: string) =>
    members.set(vm, {
      schema: 1,
      vm,
      incarnation: "i",
      region: "sierra",
      failureDomain: "d1",
      peerUrl: "http://127.0.0.1:1",
      witnesses: [],
    });
  for (const vm of ["r1", "r9"]) add(vm);
  assignments.adopt(1, testCatalogue.row({ upstreams: own }));
  assignments.adopt(
    2,
    testCatalogue.row({ upstreams: other, vm: "r9", region: "costa" }),
  );
  // Evenly distributed numbers, so that the counts do not depend on chance.
  let n = 0;
  const chooser = new UpstreamChooser({
    clock,
    region: "sierra",
    assignments,
    members,
    random: () => (n += 0.6180339887) % 1,
  });
  const counts = (tried: string[] = []) => {
    const chosen: Record<string, number> = {};
    for (let i = 0; i < 600; i++) {
      const candidate = chooser.choose("s", REGIONS, new Set(tried));
      const id = candidate?.upstream ?? "none";
      chosen[id] = (chosen[id] ?? 0) + 1;
    }
    return chosen;
  };
  return { clock, assignments, members, chooser, counts };
}

test("other regions are used only if no upstream of the own one is live", async (t) => {
  await t.test("all upstreams are live", () => {
    const { counts } = setUp(["u1", "u2"], ["u9"]);
    assert.deepEqual(Object.keys(counts()).sort(), ["u1", "u2"]);
  });
  await t.test("upstreams that refused the request are excluded", () => {
    const { counts } = setUp(["u1", "u2"], ["u9"]);
    assert.deepEqual(counts(["u1"]), { u2: 600 });
    assert.deepEqual(counts(["u1", "u2"]), { none: 600 });
  });
  await t.test("unreachable upstreams are excluded for 300 ms", async () => {
    const { counts, chooser, clock } = setUp(["u1"], ["u9"]);
    chooser.recordUnreachable("s", "u1");
    assert.deepEqual(counts(), { u9: 600 });
    await clock.advance(300);
    assert.deepEqual(counts(), { u1: 600 });
  });
  await t.test("upstreams without a registered dispatcher are excluded", () => {
    const { counts, members } = setUp(["u1"], ["u9"]);
    members.set("r1", undefined);
    assert.deepEqual(counts(), { u9: 600 });
    members.set("r9", undefined);
    assert.deepEqual(counts(), { none: 600 });
  });
  await t.test("a region that is not a home region is never used", () => {
    const { chooser } = setUp([], ["u9"]);
    assert.equal(chooser.choose("s", ["oriente"], new Set()), undefined);
  });
});

test("the upstream with the shorter estimated wait is chosen", async (t) => {
  await t.test("a slow upstream gets no requests while others are faster", () => {
    const { counts, chooser } = setUp(["u1", "u2", "u3"], []);
    for (const [id, ms] of [["u1", 1], ["u2", 1], ["u3", 50]] as const) {
      chooser.recordResponse("s", id, ms);
    }
    const chosen = counts();
    assert.equal(chosen.u3, undefined);
    // The two upstreams with equal waits share the load.
    assert.ok(Math.min(chosen.u1!, chosen.u2!) > 150, JSON.stringify(chosen));
  });
  await t.test("an old estimate decays to the median", async () => {
    const { counts, chooser, clock } = setUp(["u1", "u2", "u3"], []);
    const refresh = () => {
      chooser.recordResponse("s", "u1", 5);
      chooser.recordResponse("s", "u2", 5);
    };
    chooser.recordResponse("s", "u3", 50);
    await clock.advance(2000);
    refresh();
    assert.equal(
      counts().u3,
      undefined,
      "an estimate is still fresh after 2 s",
    );
    await clock.advance(2000);
    refresh();
    assert.ok((counts().u3 ?? 0) > 100, "an estimate has decayed after 4 s");
  });
  await t.test("requests in flight add to the estimated wait", () => {
    const { counts, chooser } = setUp(["u1", "u2"], []);
    chooser.recordResponse("s", "u1", 5);
    chooser.recordResponse("s", "u2", 5);
    const ended = [1, 2].map(() => chooser.trackRequest("s", "u1"));
    assert.deepEqual(counts(), { u2: 600 });
    for (const end of ended) end();
    assert.equal(Object.keys(counts()).length, 2);
  });
});
