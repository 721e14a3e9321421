import assert from "node:assert/strict";
import { test } from "node:test";
import { mostInWindow } from "../support/most_in_window.ts";
import { tenantLoad } from "../support/tenant_load.ts";

function tenant(name: string, ratePerS: number, burst: number) {
  return { name, keyDigests: [], ratePerS, burst, homeRegions: [] };
}

function meanRefused(refused: ReadonlyMap<string, number>): number {
  const values = [...refused.values()];
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

// Guards against tokens that lie where there is no traffic, so that requests
// below the limit are refused.
for (
  const { zones, firstRegion } of [
    { zones: "even", firstRegion: 0.5 },
    { zones: "uneven", firstRegion: 0.85 },
  ]
) {
  for (const load of [0.5, 0.8, 1.0, 1.5]) {
    test(`refused at demand ${load} of the limit with ${zones} regions`, (t) => {
      const tenants = Array.from({ length: 6 }, (_, index) => ({
        tenant: tenant(`tenant-${index}`, 24, 24),
        load,
      }));
      const { refused, callsPerS, bytesPerS } = tenantLoad({
        seed: 3,
        vmsPerRegion: 22,
        tenants,
        firstRegion,
        durationMs: 12_000,
      });
      const mean = meanRefused(refused);
      t.diagnostic(
        `${(100 * mean).toFixed(2)}% refused; ${
          callsPerS.toFixed(1)
        } calls/s ` +
          `and ${bytesPerS.toFixed(0)} bytes of bodies/s per VM`,
      );
      // Above the limit, the surplus must be refused, and not much more.
      const surplus = Math.max(0, 1 - 1 / load);
      const most = load <= 0.8 ? 0.01 : surplus + 0.15;
      assert.ok(mean < most, `${mean} of the requests were refused`);
    });
  }
}

// Guards against a tenant that takes tokens or messages from others.
test("a tenant that sends 20 times its rate takes nothing from others", (t) => {
  const calm = [0, 1, 2, 3].map((index) => ({
    tenant: tenant(`calm-${index}`, 24, 24),
    load: 0.7,
  }));
  const { refused, fleet } = tenantLoad({
    seed: 5,
    vmsPerRegion: 10,
    tenants: [...calm, { tenant: tenant("hot", 24, 24), load: 20 }],
    firstRegion: 0.5,
    durationMs: 10_000,
  });
  const hot = (fleet.results.get("hot") ?? []).filter((r) => r.admitted);
  t.diagnostic(`hot tenant: ${hot.length} admitted in 10 s`);
  const most = mostInWindow(hot.map(({ at }) => at), 5000);
  assert.ok(most <= (24 * 5 + 24) * 1.1 + 20, `${most} in 5 s`);
  assert.ok(hot.length > 24 * 10 * 0.8, `${hot.length} admitted`);
  for (const { tenant: { name } } of calm) {
    const fraction = refused.get(name)!;
    assert.ok(fraction < 0.01, `${fraction} of ${name} refused`);
  }
});

// Guards against shares that end with the leader that gave them.
test("no request is refused while the leader changes", (t) => {
  const { refused } = tenantLoad({
    seed: 11,
    vmsPerRegion: 10,
    tenants: [{ tenant: tenant("a", 24, 24), load: 0.5 }],
    firstRegion: 0.5,
    durationMs: 12_000,
    onStart: (fleet) => {
      const { leader } = fleet;
      assert.ok(leader !== undefined, "there is a leader");
      const isRelay = leader.relayName === leader.name;
      t.diagnostic(`the leader is ${isRelay ? "" : "not "}the relay`);
      if (isRelay) fleet.cutControl(leader, 60_000);
      else fleet.kill(leader);
    },
  });
  const fraction = refused.get("a")!;
  t.diagnostic(`${(100 * fraction).toFixed(2)}% refused`);
  assert.ok(fraction < 0.02, `${fraction} refused`);
});

// Guards against shares that end because the leader cannot renew its lease.
test("no request is refused while the store is away for 12 s", () => {
  const { refused } = tenantLoad({
    seed: 14,
    vmsPerRegion: 10,
    tenants: [{ tenant: tenant("a", 24, 24), load: 0.5 }],
    firstRegion: 0.5,
    durationMs: 16_000,
    onStart: (fleet) => {
      for (const vm of fleet.vms) fleet.cutStore(vm, 12_000);
    },
  });
  assert.equal(refused.get("a"), 0);
});

// Measures what a killed holder costs; guards against a region that stays
// without tokens.
test("a region gets tokens again after its holder was killed", (t) => {
  const { fleet } = tenantLoad({
    seed: 12,
    vmsPerRegion: 10,
    tenants: [{ tenant: tenant("a", 24, 24), load: 0.5 }],
    firstRegion: 0.5,
    durationMs: 16_000,
    onStart: (running) => {
      const relay = running.relayOf("region-1");
      assert.ok(relay !== undefined, "region-1 has a relay");
      running.kill(relay);
    },
  });
  const results = fleet.results.get("a")!;
  const refused = results.filter((result) => !result.admitted);
  const last = Math.max(12_000, ...refused.map(({ at }) => at));
  t.diagnostic(
    `${refused.length} of ${results.length} refused, the last ` +
      `${((last - 12_000) / 1000).toFixed(1)} s after the kill`,
  );
  assert.ok(last < 22_000, `still refused at ${last}`);
});

// Guards against a raised count of requests after a limit was lowered.
test("a lowered limit binds one window after it is in force", () => {
  const before = tenant("a", 60, 60);
  const after = tenant("a", 10, 10);
  const { fleet } = tenantLoad({
    seed: 13,
    vmsPerRegion: 5,
    tenants: [{ tenant: before, load: 3 }],
    firstRegion: 0.5,
    durationMs: 20_000,
    onStart: (running) =>
      running.at(running.time + 5000, () => running.setTenants([after])),
  });
  const times = fleet.results.get("a")!
    .filter(({ at, admitted }) => admitted && at > 12_000 + 5000 + 5000)
    .map(({ at }) => at);
  const most = mostInWindow(times, 5000);
  assert.ok(most <= (10 * 5 + 10) * 1.1 + 20, `${most} in 5 s`);
  assert.ok(most > 40, `only ${most} in 5 s`);
});
