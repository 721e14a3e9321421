import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DomainLoad } from "../../src/balance/domain_load.ts";
import { DomainLoadExchange } from "../../src/balance/domain_load_exchange.ts";
import { KeyReport } from "../../src/ranges/key_report.ts";
import { ChangesQuery } from "../../src/rows/changes_query.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { RelayRig } from "../support/relay_rig.ts";

/** Three VMs; vm-1 is the relay of region a and the leader, vm-3 relays b. */
function createVms(clock: ManualClock) {
  const create = (vm: string, region: string, loads: DomainLoad[]) =>
    new DomainLoadExchange({
      vm,
      region,
      regionOf: (domain) => domain.slice(0, 1),
      localLoads: () => loads,
      clock,
    });
  const load = (
    domain: string,
    inFlight: number,
    workPerS: number,
  ) => ({ service: "s", domain, inFlight, workPerS });
  const relay = create("vm-1", "a", [load("a1", 3, 10)]);
  const vm = create("vm-2", "a", [load("a1", 2, 5), load("a2", 1, 0)]);
  const far = create("vm-3", "b", [load("a1", 4, 0), load("b1", 6, 7)]);
  const exchange = () => {
    relay.queryOwn();
    vm.onAnswer(relay.onQuery(vm.query()), clock.now());
    far.queryOwn();
    for (const [region, member] of [["a", relay], ["b", far]] as const) {
      member.onOtherRegions(
        relay.onRegionLoads(region, member.regionLoads()),
      );
    }
  };
  return { relay, vm, far, exchange };
}

async function settle(clock: ManualClock, exchange: () => void) {
  for (let ms = 0; ms < 5000; ms += 500) {
    exchange();
    await clock.advance(500);
  }
}

describe("DomainLoadExchange", () => {
  it("adds up the loads of all VMs, also of other regions", async () => {
    const clock = new ManualClock();
    const { vm, far, exchange } = createVms(clock);
    await settle(clock, exchange);
    const now = clock.now();
    assert.deepEqual(vm.figures("s", "a1", now), {
      service: "s",
      domain: "a1",
      inFlight: 9,
      workPerS: 15,
    });
    assert.equal(vm.figures("s", "b1", now)?.inFlight, 6);
    assert.equal(far.figures("s", "a1", now)?.inFlight, 9);
  });

  // Guards against sums that lack most VMs, on which all would rush to a domain
  // that only seems to be idle.
  it("gives no figures until the VMs of a new relay have reported", async () => {
    const clock = new ManualClock();
    const { relay, vm } = createVms(clock);
    assert.equal(relay.onQuery(vm.query()), undefined);
    await clock.advance(500);
    assert.equal(relay.onQuery(vm.query()), undefined);
    await clock.advance(500);
    assert.notEqual(relay.onQuery(vm.query()), undefined);
  });

  it("gives no figures once messages have been lost for 3 s", async () => {
    const clock = new ManualClock();
    const { vm, exchange } = createVms(clock);
    await settle(clock, exchange);
    await clock.advance(3000);
    assert.equal(vm.figures("s", "a1", clock.now()), undefined);
  });

  // Guards against regions that seem to be idle because nobody reports them.
  it("gives no figures of other regions without a leader", async () => {
    const clock = new ManualClock();
    const { relay, vm, exchange } = createVms(clock);
    await settle(clock, exchange);
    for (let ms = 0; ms < 12_000; ms += 500) {
      relay.queryOwn();
      vm.onAnswer(relay.onQuery(vm.query()), clock.now());
      await clock.advance(500);
    }
    assert.equal(vm.figures("s", "a1", clock.now())?.inFlight, 5);
    assert.equal(vm.figures("s", "b1", clock.now()), undefined);
  });

  it("no longer counts a VM that is lost", async () => {
    const clock = new ManualClock();
    const { relay, exchange } = createVms(clock);
    await settle(clock, exchange);
    for (let ms = 0; ms < 6000; ms += 500) {
      relay.queryOwn();
      await clock.advance(500);
    }
    assert.equal(relay.figures("s", "a1", clock.now())?.inFlight, 3);
    assert.equal(relay.figures("s", "a2", clock.now())?.inFlight, 0);
  });

  // The same messages carry the configuration and the number of VMs.
  it("accepts messages of older versions and with malformed loads", () => {
    assert.equal(ChangesQuery.params.parse({ known: {} }).loads, undefined);
    const query = { known: { t: 1 }, loads: { vm: 1, own: "x" } };
    assert.deepEqual(ChangesQuery.params.parse(query), {
      known: { t: 1 },
      loads: undefined,
    });
    const answer = {
      keeper: true,
      vms: 3,
      loads: { domains: ["a1"], loads: { s: [[0, -1, 0]] } },
    };
    assert.equal(KeyReport.result.parse(answer).vms, 3);
  });

  it("travels with the queries to the relay, and not without one", async () => {
    const rig = new RelayRig();
    const { relay, vm } = createVms(rig.clock);
    rig.addVm("vm-1", relay);
    rig.addVm("vm-2", vm);
    // Without loads, like a VM of an older version.
    rig.addVm("vm-4");
    rig.put("a", "0");
    await rig.advance(500);
    rig.setRelay("vm-1");
    await rig.advance(4000);
    const inFlight = () => vm.figures("s", "a1", rig.clock.now())?.inFlight;
    assert.equal(inFlight(), 5);
    rig.peers.setLinkDown("vm-1", "vm-2", true);
    await rig.advance(4000);
    assert.equal(inFlight(), undefined);
    rig.peers.setLinkDown("vm-1", "vm-2", false);
    await rig.advance(4000);
    assert.equal(inFlight(), 5);
    rig.end.abort();
  });
});
