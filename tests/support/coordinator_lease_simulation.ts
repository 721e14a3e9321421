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

const CHECK_INTERVAL_MS = 10;
const START_STAGGER_MS = 117;
/** Time in which a router with store contact serves an accepted version. */
const VERSION_ADOPTION_LIMIT_MS = 3000;

/**
 * Replacements by which a test removes a rule, to show that a check fails
 * without it.
 */
type Overrides = {
  Contact?: typeof StoreContact;
  /** Returns the store as a process sees it. */
  table?: (
    table: TableService,
    process: { vm: string; incarnation: string },
  ) => TableService;
};

/**
 * Simulates the routers of one region on a manual clock. Every 10 ms it checks
 * that at most one router holds the coordinator lease, that epochs grow, and
 * that no router serves a catalogue version older than an accepted one.
 */
export class CoordinatorLeaseSimulation {
  readonly clock = new ManualClock();
  readonly store = new MemoryTableService(this.clock);
  readonly peers = new MemoryPeers(this.clock);
  /** Descriptions of the checks that failed; empty if all passed. */
  readonly violations: string[] = [];
  readonly routers: TestRouter[] = [];
  /** Number of times that each state was seen, to show that a run reached it. */
  readonly counts = {
    held: 0,
    heldInOutage: 0,
    outage: 0,
    cutOff: 0,
    accepted: 0,
  };

  readonly #overrides: Overrides;
  readonly #listedVms = new Set<string>();
  #startedProcesses = 0;
  #highestEpoch = 0;
  #highestEpochHolder = "";
  #latestVersion = 0;
  #committedAt = 0;
  #acceptedVersion = 0;
  readonly #lastOlderReportAt = new Map<string, number>();
  #acceptedAt = 0;

  constructor(size: number, overrides: Overrides = {}) {
    this.#overrides = overrides;
    for (let index = 0; index < size; index++) this.#start(`vm${index}`, index);
  }

  /** Applies one event. Only `wait` advances the clock. */
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
      case "disconnectStore":
        setMembership(
          this.store.disconnectedVms,
          this.#routerAt(action.router).vm,
          action.on,
        );
        return;
      case "loseAnswers":
        setMembership(
          this.store.answerLossVms,
          this.#routerAt(action.router).vm,
          action.on,
        );
        return;
      case "disconnectPeers":
        this.peers.setLinkDown(
          this.#routerAt(action.router).vm,
          this.#routerAt(action.other).vm,
          action.on,
        );
        return;
      case "partition":
        this.#partition(action.routerBits);
        return;
      case "pause":
        if (this.#routerAt(action.router).alive) {
          this.#routerAt(action.router).clock.paused = action.on;
        }
        return;
      case "kill":
        this.#routerAt(action.router).kill();
        return;
      case "stop":
        if (this.#routerAt(action.router).alive) {
          void this.#routerAt(action.router).stop();
        }
        return;
      case "replace":
        this.#replaceVm(action.router % this.routers.length);
        return;
      case "start":
        this.#restart(action.router % this.routers.length);
        return;
      case "stepWallClock":
        this.#routerAt(action.router).clock.wallClockOffsetMs += action.ms;
        return;
      case "changeCatalogue":
        this.#changeCatalogue();
    }
  }

  /**
   * Advances the clock, and runs the checks every 10 ms.
   *
   * @param ms - simulated time to advance, in milliseconds
   */
  async advance(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      await this.clock.advance(
        Math.min(CHECK_INTERVAL_MS, end - this.clock.now()),
      );
      this.#check();
    }
  }

  /** Ends every fault, resumes paused processes and restarts ended ones. */
  heal(): void {
    this.store.down = false;
    this.store.delayMs = 1;
    this.store.disconnectedVms.clear();
    this.store.answerLossVms.clear();
    this.peers.heal();
    for (const [index, router] of this.routers.entries()) {
      if (router.alive) router.clock.paused = false;
      else this.#restart(index);
    }
  }

  /** Kills every process. */
  end(): void {
    for (const router of this.routers) router.kill();
  }

  /** @returns the routers that hold the coordinator lease on their own clock */
  holders(): TestRouter[] {
    return this.routers.filter((router) =>
      router.alive && router.lease.held() !== undefined
    );
  }

  #routerAt(index: number): TestRouter {
    return this.routers[index % this.routers.length]!;
  }

  #start(vm: string, index: number): void {
    this.#startedProcesses += 1;
    const incarnation = `${vm}-${this.#startedProcesses}`;
    const { table: overrideTable } = this.#overrides;
    this.#listedVms.add(vm);
    const router = new TestRouter({
      vm,
      incarnation,
      failureDomain: `domain${index % 2}`,
      base: this.clock,
      // A clock reading of one process must not be comparable with that of
      // another.
      offsetMs: this.#startedProcesses * 100_000,
      store: this.store,
      peers: this.peers,
      vmList: { read: () => okAsync(this.#readVmList()) },
      ...this.#overrides.Contact && { Contact: this.#overrides.Contact },
      ...overrideTable && {
        table: (table) => overrideTable(table, { vm, incarnation }),
      },
    });
    this.routers[index] = router;
    // Staggered, because routers that poll at the same times would hide faults
    // that depend on the order of their polls.
    void this.clock.sleep(index * START_STAGGER_MS).then(() => {
      if (router.alive) router.start();
    });
  }

  #restart(index: number): void {
    if (this.routers[index]?.alive === true) return;
    const vm = this.routers[index]!.vm;
    // A VM that was removed from the VM list does not return under its ID.
    this.#start(this.#listedVms.has(vm) ? vm : `${vm}n`, index);
  }

  #replaceVm(index: number): void {
    const router = this.routers[index]!;
    router.kill();
    this.#listedVms.delete(router.vm);
  }

  #readVmList(): ListedVm[] {
    return [...this.#listedVms].map((id) => ({
      id,
      kind: "entry",
      address: "127.0.0.1:1",
      region: "sierra",
      failureDomain: "domain0",
      state: "live",
    }));
  }

  /**
   * Disconnects the routers of a bit set from the store and from the routers
   * that are not in it. Connects all others.
   */
  #partition(bitSet: number): void {
    for (const [i, a] of this.routers.entries()) {
      const inside = (bitSet >> i) % 2 === 1;
      setMembership(this.store.disconnectedVms, a.vm, inside);
      for (const [j, b] of this.routers.entries()) {
        if (i < j) {
          this.peers.setLinkDown(
            a.vm,
            b.vm,
            inside !== ((bitSet >> j) % 2 === 1),
          );
        }
      }
    }
  }

  #changeCatalogue(): void {
    // Versions are committed by a router that reaches the store, one after the
    // other has been accepted.
    if (this.store.down || this.#acceptedVersion < this.#latestVersion) return;
    this.#latestVersion += 1;
    this.#lastOlderReportAt.clear();
    this.#committedAt = this.clock.now();
    this.store.apply({
      conditions: [],
      writes: [{
        key: "catalogue/current",
        value: {
          schema: 1,
          version: this.#latestVersion,
          author: "operator",
          at: "2026-01-01T00:00:00Z",
          writeId: `${this.#latestVersion}`,
          document: { schema: 1, services: {}, entries: {}, out: {} },
        },
      }],
    });
  }

  #check(): void {
    this.#checkLease();
    this.#updateAcceptedVersion();
    this.#checkCatalogue();
  }

  #checkLease(): void {
    const holders = this.holders();
    if (holders.length > 1) {
      const names = holders.map((holder) =>
        `${holder.incarnation} epoch ${holder.lease.held()?.epoch} ` +
        holder.contact.mode()
      );
      this.#addViolation(`two holders: ${names.join(", ")}`);
    }
    for (const holder of holders) {
      this.counts.held += 1;
      if (holder.contact.mode() === "outage") this.counts.heldInOutage += 1;
      const epoch = holder.lease.held()?.epoch ?? 0;
      if (
        epoch < this.#highestEpoch ||
        (epoch === this.#highestEpoch &&
          holder.incarnation !== this.#highestEpochHolder)
      ) {
        this.#addViolation(
          `${holder.incarnation} holds epoch ${epoch}, already used or superseded`,
        );
      }
      this.#highestEpoch = Math.max(epoch, this.#highestEpoch);
      if (epoch === this.#highestEpoch) {
        this.#highestEpochHolder = holder.incarnation;
      }
    }
  }

  /** Marks the committed version as accepted as early as any writer may. */
  #updateAcceptedVersion(): void {
    if (this.#acceptedVersion >= this.#latestVersion) return;
    const statuses = this.routers
      .filter((router) => router.alive && !router.clock.paused)
      .map((router) => router.contact.status());
    for (const status of statuses) {
      const { vm, version, mode } = status;
      if (version >= this.#latestVersion || mode === "cut_off") continue;
      this.#lastOlderReportAt.set(vm, this.clock.now());
    }
    const members = this.store.keys()
      .filter((key) => key.startsWith("members/"))
      .map((key) => MemberRow.parse(this.store.get(key).value));
    const isAccepted = members.every((member) =>
      statuses.some((status) =>
        status.vm === member.vm && status.incarnation === member.incarnation &&
        status.version >= this.#latestVersion
      ) ||
      isNotServing({
        member: { vm: member.vm, reachable: member },
        now: this.clock.now(),
        startedAt: this.#committedAt,
        listedAt: this.clock.now(),
        lastOlderReportAt: this.#lastOlderReportAt.get(member.vm),
        lastOlderReportAsCurrent: undefined,
        isConfirmed: (vm, incarnation) =>
          statuses.some((status) =>
            status.vm === vm && status.incarnation === incarnation &&
            status.version >= this.#latestVersion
          ),
      })
    );
    if (!isAccepted) return;
    this.counts.accepted += 1;
    this.#acceptedVersion = this.#latestVersion;
    this.#acceptedAt = this.clock.now();
  }

  #checkCatalogue(): void {
    for (const router of this.routers) {
      if (!router.alive) continue;
      const mode = router.contact.mode();
      if (mode === "outage") this.counts.outage += 1;
      if (mode === "cut_off") this.counts.cutOff += 1;
      const mustServeAccepted = mode === "outage" || (mode === "current" &&
        this.clock.now() - this.#acceptedAt > VERSION_ADOPTION_LIMIT_MS);
      const { version } = router.views.catalogue;
      if (mustServeAccepted && version < this.#acceptedVersion) {
        this.#addViolation(
          `${router.incarnation} in ${mode} serves version ${version} after ` +
            `${this.#acceptedVersion} was accepted`,
        );
      }
    }
  }

  #addViolation(text: string): void {
    this.violations.push(`${this.clock.now()} ms: ${text}`);
  }
}

function setMembership(
  set: Set<string>,
  item: string,
  isMember: boolean,
): void {
  if (isMember) set.add(item);
  else set.delete(item);
}
