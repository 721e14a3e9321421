import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { FleetView } from "../../src/direct/fleet_view.ts";
import { LeaderLease } from "../../src/ranges/leader_lease.ts";
import { KeyLoad } from "../../src/ranges/key_load.ts";
import type { RowStore } from "../../src/rows/row_store.ts";
import { ServiceRanges } from "../../src/ranges/service_ranges.ts";
import { LeaseUpstreams } from "./lease_upstreams.ts";
import { ManualClock } from "./manual_clock.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { silentLogger } from "./silent_logger.ts";

const SERVICE = "ledger";

/** Test rig with VMs that may lead one service's key ranges, and upstreams. */
export class RangeRig {
  readonly clock = new ManualClock();
  readonly store = new MemoryRowStore(this.clock);
  readonly upstreams = new LeaseUpstreams(this.clock);
  readonly load = new KeyLoad(0);
  readonly end = new AbortController();

  /** Creates a VM that may become the leader, with its view of the store. */
  addCandidate(
    vm: string,
    ids: readonly string[],
    store: RowStore = this.store,
  ) {
    const { clock } = this;
    const logger = silentLogger();
    const view = new FleetView({
      clock,
      logger,
      regionOf: new Map([["a1", "a"]]),
      assumedVms: 3,
      changeBoundMs: 2500,
      contactMs: 3000,
    });
    view.setConfig({
      version: 1,
      routes: [],
      unusableRoutes: [],
      services: [{
        name: SERVICE,
        healthPath: "/health",
        maxConnections: 100,
        warmUpMs: 3000,
        warmUpPerS: 4,
        keyed: true,
      }],
      requests: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headersTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    });
    for (const id of ids) this.register(view, id);
    const end = new AbortController();
    const lease = new LeaderLease({
      store,
      table: "keeper",
      self: { vm, incarnation: `${vm}-1`, peerUrl: `http://${vm}` },
      cores: undefined,
      clock,
      logger,
      signal: end.signal,
    });
    const newRanges = () =>
      new ServiceRanges({
        service: SERVICE,
        store,
        table: "ranges",
        view,
        lease,
        grants: this.upstreams.connectionsOf(vm),
        load: this.load,
        workMs: () => 100,
        speeds: () => new Map(),
        clock,
        logger,
        metrics: new DirectMetrics(),
        holdMs: 4000,
      });
    return { vm, view, lease, ranges: newRanges(), newRanges, end };
  }

  register(
    view: FleetView,
    id: string,
    state: "ready" | "draining" = "ready",
    incarnation = 1,
  ) {
    view.setUpstream({
      id,
      incarnation,
      heartbeat: 1,
      service: SERVICE,
      address: `${id}:1`,
      failureDomain: "a1",
      slots: 2,
      state,
      warmUpMs: 0,
    });
  }

  /** Returns the fraction of sampled keys that exactly one upstream holds. */
  fractionHeldOnce(): number {
    let once = 0;
    for (let key = 0; key < 65_536; key += 1024) {
      if (this.upstreams.holders(key).length === 1) once++;
    }
    return once / 64;
  }

  /** Advances the clock in small steps, so that all tasks run at each step. */
  async advance(ms: number, stepMs = 20): Promise<void> {
    for (let advancedMs = 0; advancedMs < ms; advancedMs += stepMs) {
      await this.clock.advance(stepMs);
    }
  }
}
