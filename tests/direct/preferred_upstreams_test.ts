import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { preferredUpstreams } from "../../src/direct/preferred_upstreams.ts";
import type { Upstream } from "../../src/direct/upstream.ts";
import { FleetRig } from "../support/fleet_rig.ts";

const VMS = 90;
const REGIONS = 3;
const UPSTREAMS = 72;
const REQUESTS_PER_S = 621;
/** Idle connections are closed after this time. */
const IDLE_S = 4;

function upstreamsOf(count: number): Upstream[] {
  const rig = FleetRig.manual();
  return Array.from(
    { length: count },
    (_, index) => rig.upstream({ id: `fleet-status-${index}` }),
  );
}

function idsOf(upstreams: readonly Upstream[]): string[] {
  return upstreams.map(({ entry }) => entry.id);
}

describe("preferredUpstreams", () => {
  const counts = { upstreams: UPSTREAMS, vms: VMS };
  const region = upstreamsOf(UPSTREAMS / REGIONS);
  const vms = Array.from({ length: VMS / REGIONS }, (_, n) => `edge-${n}`);
  const picks = vms.map((vm) => preferredUpstreams(vm, region, counts));

  // Many VMs share many upstreams, so that each VM sends to each upstream only
  // once in several seconds. Guards against a new connection for each request
  // and against load reports that are always out of date.
  it("lets a VM send to each preferred upstream about once a second", () => {
    for (const picked of picks) {
      const perS = REQUESTS_PER_S / VMS / picked.length;
      assert.ok(perS > 2 / IDLE_S, `${perS} requests a second`);
    }
  });

  it("distributes the VMs of a region over all its upstreams", () => {
    const preferring = new Map<string, number>();
    for (const picked of picks) {
      for (const id of idsOf(picked)) {
        preferring.set(id, (preferring.get(id) ?? 0) + 1);
      }
    }
    assert.equal(preferring.size, region.length);
    const mean = picks.flat().length / region.length;
    assert.ok(Math.max(...preferring.values()) <= 2 * mean);
  });

  it("replaces at most one upstream when one is removed", () => {
    const [removed, ...remaining] = region;
    for (const [index, vm] of vms.entries()) {
      const before = idsOf(picks[index] ?? []);
      const after = idsOf(preferredUpstreams(vm, remaining, counts));
      const kept = before.filter((id) => after.includes(id));
      const lost = before.includes(removed?.entry.id ?? "") ? 1 : 0;
      assert.equal(kept.length, before.length - lost);
      assert.equal(after.length, before.length);
    }
  });

  for (
    const { name, near, upstreams, vms: count } of [
      { name: "of a small region", near: 5, upstreams: 13, vms: 80 },
      { name: "that few VMs share", near: 9, upstreams: 13, vms: 11 },
    ]
  ) {
    it(`prefers all upstreams ${name}`, () => {
      const all = upstreamsOf(near);
      const found = preferredUpstreams("edge-1", all, {
        upstreams,
        vms: count,
      });
      assert.deepEqual(idsOf(found), idsOf(all));
    });
  }
});
