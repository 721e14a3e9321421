import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { soakPlan } from "../../dev/soak/soak_plan.ts";

const SIZE = {
  routers: 4,
  upstreams: 6,
  failureDomains: 3,
  durationMs: 60_000,
};

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
    assert.equal(kinds.size, 16);
    assert.deepEqual(plannedOnly, [3, 6, 9, 12, 15, 18, 21, 24, 27, 30]);
  });

  it("stays within the duration and the numbers of routers and upstreams", () => {
    for (const { atMs, fault } of [4, 5].flatMap((s) => soakPlan(s, SIZE))) {
      assert.ok(atMs < SIZE.durationMs);
      if ("router" in fault) assert.ok(fault.router < SIZE.routers);
      if ("upstream" in fault) assert.ok(fault.upstream < SIZE.upstreams);
      if (fault.kind === "partition") {
        assert.ok(fault.failureDomain < SIZE.failureDomains);
      }
    }
  });

  it("plans several partitions of 3 to 6 s, one after another, for each second seed", () => {
    for (const seed of [2, 4, 8, 10]) {
      const partitions = soakPlan(seed, { ...SIZE, durationMs: 21_000 })
        .flatMap(({ atMs, fault }) =>
          fault.kind === "partition" ? [{ atMs, ...fault }] : []
        );
      assert.ok(partitions.length >= 3, `${partitions.length}`);
      for (const [index, { atMs, durationMs }] of partitions.entries()) {
        assert.ok(durationMs >= 3000 && durationMs <= 6000);
        const next = partitions[index + 1];
        if (next !== undefined) assert.ok(next.atMs > atMs + durationMs);
      }
    }
    const kinds = soakPlan(1009, SIZE).map(({ fault }) => fault.kind);
    assert.ok(!kinds.includes("partition"));
  });
});
