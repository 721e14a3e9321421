import { okAsync } from "neverthrow";
import type { ListedVm } from "../../src/contracts/listed_vm.ts";
import type { TableService } from "../../src/contracts/table_service.ts";
import { isNotServing } from "../../src/catalogue/is_not_serving.ts";
import { MemberRow } from "../../src/vms/member_row.ts";
import type { StoreContact } from "../../src/vms/store_contact.ts";
import { ManualClock } from "./manual_clock.ts";
import { MemoryPeers } from "./memory_peers.ts";
import { MemoryTableService } from "./memory_table_service.ts";
import type { SimulationAction } from "./simulation_action.ts";
import { TestRouter } from "./test_router.ts";

const CHECK_EVERY_MS = 10;
const START_PHASE_MS = 117;
const IN_FORCE_WITHIN_MS = 3000;

/** Rules that a check may remove, to show that it depends on them. */
type Rules = {
  Contact?: typeof StoreContact;
  table?: (
    table: TableService,
    process: { vm: string; incarnation: string },
  ) => TableService;
};

/**
 * One region of routers on a manual clock. Every 10 ms it checks that at most
 * one router holds the coordinator lease, that epochs grow, and that no router
 * serves a catalogue version older than an accepted one.
 */
export class RegionSimulation {
  readonly clock = new ManualClock();
  readonly store = new MemoryTableService(this.clock);
  readonly peers = new MemoryPeers(this.clock);
  /** What went wrong, in words; empty when every check held. */
  readonly violations: string[] = [];
  readonly routers: TestRouter[] = [];
  /** How often each state was seen, to show that a run reached it. */
  readonly seen = {
    held: 0,
    heldInOutage: 0,
    outage: 0,
    cutOff: 0,
    accepted: 0,
  };

  readonly #rules: Rules;
  readonly #listed = new Set<string>();
  #started = 0;
  #highestEpoch = 0;
  #holderOfHighest = "";
  #version = 0;
  #committedAt = 0;
  #accepted = 0;
  readonly #servedOlderAt = new Map<string, number>();
  #acceptedAt = 0;

  constructor(size: number, rules: Rules = {}) {
    this.#rules = rules;
    for (let index = 0; index < size; index++) this.#start(`vm${index}`, index);
  }

  /** Runs one event; only `wait` takes time. */
  async run(action: SimulationAction): Promise<void> {
    switch (action.kind) {
      case "wait":
        await this.advance(action.ms);
        return;
      case "storeDown":
        this.store.down = action.on;
        return;
      case "storeDelay":
        this.store.delayMs = action.ms;
        return;
      case "cutStore":
        toggle(this.store.cut, this.#at(action.router).vm, action.on);
        return;
      case "loseAnswers":
        toggle(this.store.answersLost, this.#at(action.router).vm, action.on);
        return;
      case "cutPeers":
        this.peers.setCut(
          this.#at(action.router).vm,
          this.#at(action.other).vm,
          action.on,
        );
        return;
      case "split":
        this.#split(action.side);
        return;
      case "pause":
        if (this.#at(action.router).alive) {
          this.#at(action.router).clock.paused = action.on;
        }
        return;
      case "kill":
        this.#at(action.router).kill();
        return;
      case "stop":
        if (this.#at(action.router).alive) {
          void this.#at(action.router).stop();
        }
        return;
      case "replace":
        this.#replace(action.router % this.routers.length);
        return;
      case "start":
        this.#restart(action.router % this.routers.length);
        return;
      case "stepWallClock":
        this.#at(action.router).clock.wallStepMs += action.ms;
        return;
      case "changeCatalogue":
        this.#changeCatalogue();
    }
  }

  /** Lets time pass under the checks. */
  async advance(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      await this.clock.advance(
        Math.min(CHECK_EVERY_MS, end - this.clock.now()),
      );
      this.#check();
    }
  }

  /** Ends every fault and starts every process again. */
  heal(): void {
    this.store.down = false;
    this.store.delayMs = 1;
    this.store.cut.clear();
    this.store.answersLost.clear();
    this.peers.heal();
    for (const [index, router] of this.routers.entries()) {
      if (router.alive) router.clock.paused = false;
      else this.#restart(index);
    }
  }

  /** Ends every process. */
  end(): void {
    for (const router of this.routers) router.kill();
  }

  holders(): TestRouter[] {
    return this.routers.filter((router) =>
      router.alive && router.lease.held() !== undefined
    );
  }

  #at(index: number): TestRouter {
    return this.routers[index % this.routers.length]!;
  }

  #start(vm: string, index: number): void {
    this.#started += 1;
    const incarnation = `${vm}-${this.#started}`;
    const { table: changed } = this.#rules;
    this.#listed.add(vm);
    const router = new TestRouter({
      vm,
      incarnation,
      failureDomain: `domain${index % 2}`,
      base: this.clock,
      // Readings of different processes must not be comparable.
      offsetMs: this.#started * 100_000,
      store: this.store,
      peers: this.peers,
      vmList: { read: () => okAsync(this.#vms()) },
      ...this.#rules.Contact && { Contact: this.#rules.Contact },
      ...changed && {
        table: (table) => changed(table, { vm, incarnation }),
      },
    });
    this.routers[index] = router;
    // Routers that poll at the same moment would hide differences in phase.
    void this.clock.sleep(index * START_PHASE_MS).then(() => {
      if (router.alive) router.start();
    });
  }

  #restart(index: number): void {
    if (this.routers[index]?.alive === true) return;
    const vm = this.routers[index]!.vm;
    // A VM that was taken off the list does not return under its name.
    this.#start(this.#listed.has(vm) ? vm : `${vm}n`, index);
  }

  #replace(index: number): void {
    const router = this.routers[index]!;
    router.kill();
    this.#listed.delete(router.vm);
  }

  #vms(): ListedVm[] {
    return [...this.#listed].map((id) => ({
      id,
      kind: "entry",
      address: "127.0.0.1:1",
      region: "sierra",
      failureDomain: "domain0",
      state: "live",
    }));
  }

  /** Routers in the bit set lose the store and all routers outside the set. */
  #split(side: number): void {
    for (const [i, a] of this.routers.entries()) {
      const inside = (side >> i) % 2 === 1;
      toggle(this.store.cut, a.vm, inside);
      for (const [j, b] of this.routers.entries()) {
        if (i < j) {
          this.peers.setCut(a.vm, b.vm, inside !== ((side >> j) % 2 === 1));
        }
      }
    }
  }

  #changeCatalogue(): void {
    // As by a router that reaches the store.
    if (this.store.down || this.#accepted < this.#version) return;
    this.#version += 1;
    this.#servedOlderAt.clear();
    this.#committedAt = this.clock.now();
    this.store.apply({
      conditions: [],
      writes: [{
        key: "catalogue/current",
        value: {
          schema: 1,
          version: this.#version,
          author: "operator",
          at: "2026-01-01T00:00:00Z",
          writeId: `${this.#version}`,
          document: { schema: 1, services: {}, entries: {}, out: {} },
        },
      }],
    });
  }

  #check(): void {
    this.#checkLease();
    this.#accept();
    this.#checkCatalogue();
  }

  #checkLease(): void {
    const holders = this.holders();
    if (holders.length > 1) {
      const names = holders.map((holder) =>
        `${holder.incarnation} epoch ${holder.lease.held()?.epoch} ` +
        holder.contact.mode()
      );
      this.#report(`two holders: ${names.join(", ")}`);
    }
    for (const holder of holders) {
      this.seen.held += 1;
      if (holder.contact.mode() === "outage") this.seen.heldInOutage += 1;
      const epoch = holder.lease.held()?.epoch ?? 0;
      if (
        epoch < this.#highestEpoch ||
        (epoch === this.#highestEpoch &&
          holder.incarnation !== this.#holderOfHighest)
      ) {
        this.#report(`${holder.incarnation} holds the old epoch ${epoch}`);
      }
      this.#highestEpoch = Math.max(epoch, this.#highestEpoch);
      if (epoch === this.#highestEpoch) {
        this.#holderOfHighest = holder.incarnation;
      }
    }
  }

  /** Accepts a version as early as any writer may. */
  #accept(): void {
    if (this.#accepted >= this.#version) return;
    const statuses = this.routers
      .filter((router) => router.alive && !router.clock.paused)
      .map((router) => router.contact.status());
    for (const status of statuses) {
      const { vm, version, mode } = status;
      if (version >= this.#version || mode === "cut_off") continue;
      this.#servedOlderAt.set(vm, this.clock.now());
    }
    const members = this.store.keys()
      .filter((key) => key.startsWith("members/"))
      .map((key) => MemberRow.parse(this.store.get(key).value));
    const isAccepted = members.every((member) =>
      statuses.some((status) =>
        status.vm === member.vm && status.incarnation === member.incarnation &&
        status.version >= this.#version
      ) ||
      isNotServing({
        member: { vm: member.vm, reachable: member },
        now: this.clock.now(),
        startedAt: this.#committedAt,
        listedAt: this.clock.now(),
        servedOlderAt: this.#servedOlderAt.get(member.vm),
        currentWithOlder: undefined,
        isConfirmed: (vm, incarnation) =>
          statuses.some((status) =>
            status.vm === vm && status.incarnation === incarnation &&
            status.version >= this.#version
          ),
      })
    );
    if (!isAccepted) return;
    this.seen.accepted += 1;
    this.#accepted = this.#version;
    this.#acceptedAt = this.clock.now();
  }

  #checkCatalogue(): void {
    for (const router of this.routers) {
      if (!router.alive) continue;
      const mode = router.contact.mode();
      if (mode === "outage") this.seen.outage += 1;
      if (mode === "cut_off") this.seen.cutOff += 1;
      const isLate = mode === "outage" || (mode === "current" &&
        this.clock.now() - this.#acceptedAt > IN_FORCE_WITHIN_MS);
      const { version } = router.views.catalogue;
      if (isLate && version < this.#accepted) {
        this.#report(
          `${router.incarnation} in ${mode} serves version ${version} after ` +
            `${this.#accepted} was accepted`,
        );
      }
    }
  }

  #report(text: string): void {
    this.violations.push(`${this.clock.now()} ms: ${text}`);
  }
}

function toggle(set: Set<string>, item: string, on: boolean): void {
  if (on) set.add(item);
  else set.delete(item);
}
