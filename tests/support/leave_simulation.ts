import { uniformInt } from "pure-rand/distribution/uniformInt";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { JumpableRandomGenerator } from "pure-rand/types/JumpableRandomGenerator";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { RegistryRows } from "../../platform/registry_rows.ts";
import type { Clock } from "../../src/base/clock.ts";
import type { Logger } from "../../src/base/logger.ts";
import { chooseUpstream } from "../../src/direct/choose_upstream.ts";
import { followTimesFor } from "../../src/rows/follow_times_for.ts";
import { TableFollower } from "../../src/rows/table_follower.ts";
import { TableRelay } from "../../src/rows/table_relay.ts";
import { ConnectionFaults } from "./connection_faults.ts";
import { FleetRig } from "./fleet_rig.ts";
import { ManualClock } from "./manual_clock.ts";
import { MemoryPeers } from "./memory_peers.ts";
import { PausableClock } from "./pausable_clock.ts";
import { silentLogger } from "./silent_logger.ts";

type Bounds = {
  /** A leaving upstream gets no request later than this after its leave. */
  drainMs: number;
  /** Leaves and VMs are judged this long after a disturbance. */
  contactMs: number;
};
type SimulatedUpstream = {
  id: string;
  service: "s1" | "s2";
  heartbeat: number;
  /** When the store, while it was stable, acknowledged that it leaves. */
  leftAt: number | undefined;
  /** It leaves or has left, whether or not the store knows. */
  gone: boolean;
};
type SimulatedVm = {
  name: string;
  rig: FleetRig<PausableClock>;
  connections: ConnectionFaults;
  relay: TableRelay;
  follower: TableFollower;
  disturbed: boolean;
  disturbedUntil: number;
};

const TABLE = "t";
const VMS = 5;
const PER_SERVICE = 10;
const STEP_MS = 50;
const DURATION_MS = 30_000;
const REMOVE_MISSING_INTERVAL_MS = 250;
const LAPSE_AFTER_MS = 4500;
const REWRITTEN_WITHIN_MS = 2000;
const KEYS_PER_OWNER = Math.floor(65_536 / PER_SERVICE);

/**
 * Upstreams leave while VMs are cut off and the store is down or forgets its
 * history. The owners of keys never change: only the VMs can end their use.
 */
export class LeaveSimulation {
  /** Each use of an upstream that had left too long ago. */
  readonly late: string[] = [];
  /** Leaves that were judged. */
  judgedLeaves = 0;
  readonly #bounds: Bounds;
  readonly #createLogger: (vm: string, clock: Clock) => Logger;
  readonly #random: JumpableRandomGenerator;
  readonly #clock = new ManualClock();
  readonly #store = new MemoryRowStore(this.#clock);
  readonly #peers = new MemoryPeers(this.#clock);
  readonly #end = new AbortController();
  readonly #vms: SimulatedVm[] = [];
  readonly #upstreams: SimulatedUpstream[] = [];
  readonly #reported = new Set<string>();
  #storeDown = false;
  #storeDisturbedUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param seed - seed of all choices
   * @param bounds - bounds of the deployment, in milliseconds
   * @param createLogger - creates the logger of a VM with its name and clock
   */
  constructor(
    seed: number,
    bounds: Bounds,
    createLogger: (vm: string, clock: Clock) => Logger = () => silentLogger(),
  ) {
    this.#bounds = bounds;
    this.#createLogger = createLogger;
    this.#random = xoroshiro128plus(seed);
    for (let n = 0; n < 2 * PER_SERVICE; n++) {
      const service = n < PER_SERVICE ? "s1" : "s2";
      this.#upstreams.push({
        id: `${service}-${n}`,
        service,
        heartbeat: 0,
        leftAt: undefined,
        gone: false,
      });
    }
    for (let n = 0; n < VMS; n++) this.#addVm(`vm-${n}`);
  }

  /**
   * @returns a random number from 0 to 1, for the delays of the VMs
   */
  readonly random = (): number => uniformFloat64(this.#random);

  /** Plays the whole time and collects the late uses. */
  async run(): Promise<void> {
    for (const upstream of this.#upstreams) this.#write(upstream, "ready");
    for (const { follower, relay } of this.#vms) {
      void follower.run(this.#end.signal);
      void relay.run();
    }
    this.#setRelay();
    await this.#clock.advance(2000);
    const tasks = [
      this.#leaves(),
      this.#massLeave(),
      this.#cuts(),
      this.#outage(),
      this.#changesOfRelay(),
    ];
    const judged = this.#judge();
    while (this.#clock.now() < DURATION_MS) await this.#clock.advance(STEP_MS);
    this.#end.abort();
    await this.#clock.advance(STEP_MS);
    await Promise.all([...tasks, judged]);
    this.judgedLeaves =
      this.#upstreams.filter(({ leftAt }) => leftAt !== undefined).length;
  }

  #int(min: number, max: number): number {
    return uniformInt(this.#random, min, max);
  }

  #sleep(ms: number): Promise<void> {
    return this.#clock.sleep(ms, this.#end.signal);
  }

  #addVm(name: string): void {
    const process = new PausableClock(this.#clock, 0);
    const logger = this.#createLogger(name, process);
    const rig = new FleetRig(process, VMS, logger, {
      changeBoundMs: this.#bounds.drainMs,
      contactMs: this.#bounds.contactMs,
    });
    rig.configure([rig.route()], [{ keyed: true }, { name: "s2" }]);
    rig.owners(
      ...this.#upstreams.filter(({ service }) => service === "s1")
        .map(({ id }, index) => ({
          id,
          first: index * KEYS_PER_OWNER,
          last: (index + 1) * KEYS_PER_OWNER - 1,
        })),
    );
    const ignored = { inc: () => undefined } as never;
    const rows = new RegistryRows(rig.view, logger, { invalidRows: ignored });
    const connections = new ConnectionFaults(this.#store, process);
    const boundMs = this.#bounds.drainMs;
    const follower: TableFollower = new TableFollower({
      store: connections,
      table: TABLE,
      clock: process,
      logger,
      times: () => followTimesFor(boundMs),
      batchMs: () => 250,
      boundMs,
      onSnapshot: (all, origin) => rows.onSnapshot(all, origin),
      onChanges: (changes, origin) => rows.onChanges(changes, origin),
      onReconnected: (outage) => rig.view.onRegistryReconnected(outage),
    });
    const selfUrl = `http://${name}`;
    const relay: TableRelay = new TableRelay({
      followers: [follower],
      boundMs,
      selfUrl,
      peers: this.#peers.client(name, process),
      clock: process,
      logger,
      signal: this.#end.signal,
    });
    this.#peers.listen(selfUrl, {
      vm: name,
      process,
      handlers: [relay.handler],
    });
    this.#vms.push({
      name,
      rig,
      connections,
      relay,
      follower,
      disturbed: false,
      disturbedUntil: Number.NEGATIVE_INFINITY,
    });
  }

  #setRelay(): void {
    const url = `http://vm-${this.#int(0, VMS - 1)}`;
    for (const { relay } of this.#vms) relay.setRelay(url);
  }

  #write(upstream: SimulatedUpstream, state: "ready" | "draining"): void {
    upstream.heartbeat++;
    this.#store.put(
      TABLE,
      upstream.id,
      JSON.stringify({
        service: upstream.service,
        address: "10.1.0.1:8080",
        zone: "a1",
        version: "1.0",
        slots: 2,
        state,
        warmupRemaining: "0s",
        sequence: upstream.heartbeat,
        born: 1,
      }),
    );
  }

  get #storeStable(): boolean {
    return !this.#storeDown &&
      this.#clock.now() >= this.#storeDisturbedUntil + this.#bounds.contactMs;
  }

  /** An upstream leaves; while the store is down, its entry lapses later. */
  #leave(upstream: SimulatedUpstream, drains: boolean): void {
    if (upstream.gone) return;
    upstream.gone = true;
    if (this.#storeDown) return;
    if (this.#storeStable) upstream.leftAt = this.#clock.now();
    if (!drains) {
      this.#store.drop(TABLE, upstream.id);
      return;
    }
    this.#write(upstream, "draining");
    void this.#sleep(this.#bounds.drainMs + this.#int(500, 8000)).then(() => {
      this.#store.drop(TABLE, upstream.id);
    });
  }

  async #leaves(): Promise<void> {
    while (!this.#end.signal.aborted) {
      await this.#sleep(this.#int(500, 5000));
      const upstream = this.#upstreams[this.#int(0, 2 * PER_SERVICE - 1)];
      if (upstream !== undefined) this.#leave(upstream, this.#int(0, 1) === 0);
    }
  }

  /** Most upstreams of a service leave within two seconds. */
  async #massLeave(): Promise<void> {
    await this.#sleep(this.#int(3000, 18_000));
    const service = this.#int(0, 1) === 0 ? "s1" : "s2";
    const drains = this.#int(0, 1) === 0;
    let left = this.#int(3, 8);
    for (const upstream of this.#upstreams) {
      if (upstream.service !== service || left-- <= 0) continue;
      this.#leave(upstream, drains);
      await this.#sleep(this.#int(0, 300));
    }
  }

  /** VMs are cut off from the store and the other VMs. */
  async #cuts(): Promise<void> {
    await this.#sleep(this.#int(500, 6000));
    const vms = this.#vms.slice(0, this.#int(1, VMS - 1));
    for (const vm of vms) {
      vm.disturbed = true;
      vm.connections.silent = true;
      vm.connections.killConnections();
      for (const { name } of this.#vms) {
        if (name !== vm.name) this.#peers.setLinkDown(vm.name, name, true);
      }
    }
    await this.#sleep(this.#int(1000, 12_000));
    this.#peers.heal();
    for (const vm of vms) {
      vm.disturbed = false;
      vm.disturbedUntil = this.#clock.now();
      vm.connections.silent = false;
      vm.connections.killConnections();
    }
  }

  /** The store forgets its history, or is down while entries lapse. */
  async #outage(): Promise<void> {
    await this.#sleep(this.#int(1000, 20_000));
    if (this.#int(0, 1) === 0) {
      this.#store.forgotten = this.#store.version;
      return;
    }
    const ms = this.#int(500, 8000);
    this.#storeDown = true;
    this.#store.fault = this.#int(0, 1) === 0 ? "down" : "silent";
    await this.#sleep(ms);
    this.#storeDown = false;
    this.#store.fault = "none";
    this.#storeDisturbedUntil = this.#clock.now();
    if (ms < LAPSE_AFTER_MS) return;
    for (const upstream of this.#upstreams) {
      this.#store.drop(TABLE, upstream.id);
      if (upstream.gone) continue;
      void this.#sleep(this.#int(0, REWRITTEN_WITHIN_MS)).then(() => {
        if (!upstream.gone) this.#write(upstream, "ready");
      });
    }
  }

  async #changesOfRelay(): Promise<void> {
    while (!this.#end.signal.aborted) {
      await this.#sleep(this.#int(2000, 9000));
      this.#setRelay();
    }
  }

  async #judge(): Promise<void> {
    let removedAt = 0;
    while (!this.#end.signal.aborted) {
      await this.#sleep(STEP_MS);
      const now = this.#clock.now();
      if (now - removedAt >= REMOVE_MISSING_INTERVAL_MS) {
        removedAt = now;
        for (const { rig } of this.#vms) rig.view.removeMissing();
      }
      if (!this.#storeStable) continue;
      for (const vm of this.#vms) {
        if (
          vm.disturbed || now < vm.disturbedUntil + this.#bounds.contactMs
        ) continue;
        for (const upstream of this.#upstreams) this.#judgeUse(vm, upstream);
      }
    }
  }

  #judgeUse(vm: SimulatedVm, { id, service, leftAt }: SimulatedUpstream): void {
    const now = this.#clock.now();
    if (leftAt === undefined || now <= leftAt + this.#bounds.drainMs) return;
    const { view } = vm.rig;
    const upstream = view.upstream(id);
    if (upstream === undefined) return;
    const choice = chooseUpstream({
      view,
      route: vm.rig.route(),
      service,
      key: Number(id.split("-")[1]) * KEYS_PER_OWNER,
      tried: new Set([...view.upstreams].filter((other) => other !== upstream)),
      location: { vm: vm.name, failureDomain: "a1", region: "a" },
      workMs: 100,
      remainingMs: 1000,
      now,
    });
    if (choice.kind !== "send" || this.#reported.has(`${vm.name} ${id}`)) {
      return;
    }
    this.#reported.add(`${vm.name} ${id}`);
    const lateMs = now - leftAt - this.#bounds.drainMs;
    this.late.push(`${vm.name} uses ${id} ${lateMs} ms late at ${now} ms`);
  }
}
