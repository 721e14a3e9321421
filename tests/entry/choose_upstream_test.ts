import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamChooser } from "../../src/entry/choose_upstream.ts";
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
  // Numbers that spread evenly, so that shares do not depend on chance.
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
      const one = chooser.choose("s", REGIONS, new Set(tried));
      const id = one?.upstream ?? "none";
      chosen[id] = (chosen[id] ?? 0) + 1;
    }
    return chosen;
  };
  return { clock, assignments, members, chooser, counts };
}

test("the own region is used unless none of its upstreams is live", async (t) => {
  await t.test("all live", () => {
    const { counts } = setUp(["u1", "u2"], ["u9"]);
    assert.deepEqual(Object.keys(counts()).sort(), ["u1", "u2"]);
  });
  await t.test("refused ones are left out", () => {
    const { counts } = setUp(["u1", "u2"], ["u9"]);
    assert.deepEqual(counts(["u1"]), { u2: 600 });
    assert.deepEqual(counts(["u1", "u2"]), { none: 600 });
  });
  await t.test("failed ones are left out for 300 ms", async () => {
    const { counts, chooser, clock } = setUp(["u1"], ["u9"]);
    chooser.failed("s", "u1");
    assert.deepEqual(counts(), { u9: 600 });
    await clock.advance(300);
    assert.deepEqual(counts(), { u1: 600 });
  });
  await t.test("upstreams without a registered dispatcher", () => {
    const { counts, members } = setUp(["u1"], ["u9"]);
    members.set("r1", undefined);
    assert.deepEqual(counts(), { u9: 600 });
    members.set("r9", undefined);
    assert.deepEqual(counts(), { none: 600 });
  });
  await t.test("a region that is no home region", () => {
    const { chooser } = setUp([], ["u9"]);
    assert.equal(chooser.choose("s", ["oriente"], new Set()), undefined);
  });
});

test("the shorter of two waits wins, and estimates age", async (t) => {
  await t.test("a slow upstream gets nothing while others are known", () => {
    const { counts, chooser } = setUp(["u1", "u2", "u3"], []);
    for (const [id, ms] of [["u1", 1], ["u2", 1], ["u3", 50]] as const) {
      chooser.answered("s", id, ms);
    }
    const chosen = counts();
    assert.equal(chosen.u3, undefined);
    // No herd: the two equal ones share the load.
    assert.ok(Math.min(chosen.u1!, chosen.u2!) > 150, JSON.stringify(chosen));
  });
  await t.test("an old estimate moves to the median", async () => {
    const { counts, chooser, clock } = setUp(["u1", "u2", "u3"], []);
    const refresh = () => {
      chooser.answered("s", "u1", 5);
      chooser.answered("s", "u2", 5);
    };
    chooser.answered("s", "u3", 50);
    await clock.advance(2000);
    refresh();
    assert.equal(counts().u3, undefined, "2 s old is still fresh");
    await clock.advance(2000);
    refresh();
    assert.ok((counts().u3 ?? 0) > 100, "4 s old says nothing");
  });
  await t.test("own requests in flight add to the wait", () => {
    const { counts, chooser } = setUp(["u1", "u2"], []);
    chooser.answered("s", "u1", 5);
    chooser.answered("s", "u2", 5);
    const ended = [1, 2].map(() => chooser.started("s", "u1"));
    assert.deepEqual(counts(), { u2: 600 });
    for (const end of ended) end();
    assert.equal(Object.keys(counts()).length, 2);
  });
});
