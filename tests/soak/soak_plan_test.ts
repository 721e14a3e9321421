import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { soakPlan } from "../../dev/soak/soak_plan.ts";

const SIZE = { routers: 4, upstreams: 6, durationMs: 60_000 };

describe("soakPlan", () => {
  it("returns the same plan for the same seed, and another for another seed", () => {
    assert.deepEqual(soakPlan(7, SIZE), soakPlan(7, SIZE));
    assert.notDeepEqual(soakPlan(7, SIZE), soakPlan(8, SIZE));
  });

  it("covers every kind of fault, and plans only planned work for each third seed", () => {
    const kinds = new Set<string>();
    const plannedOnly: number[] = [];
    const planned = [
      "router_stop",
      "router_reload",
      "upstream_drain",
      "config_change",
    ];
    for (let seed = 1; seed <= 30; seed++) {
      const found = soakPlan(seed, SIZE).map(({ fault }) => fault.kind);
      for (const kind of found) kinds.add(kind);
      if (found.every((kind) => planned.includes(kind))) plannedOnly.push(seed);
    }
    assert.equal(kinds.size, 14);
    assert.deepEqual(plannedOnly, [3, 6, 9, 12, 15, 18, 21, 24, 27, 30]);
  });

  it("stays within the duration and the numbers of routers and upstreams", () => {
    for (const { atMs, fault } of soakPlan(5, SIZE)) {
      assert.ok(atMs < SIZE.durationMs);
      if ("router" in fault) assert.ok(fault.router < SIZE.routers);
      if ("upstream" in fault) assert.ok(fault.upstream < SIZE.upstreams);
    }
  });
});
