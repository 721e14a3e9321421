import type { Logger } from "../../src/base/logger.ts";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import type { ListedVm } from "../../src/contracts/listed_vm.ts";
import { Coordinator } from "../../src/regions/coordinator.ts";
import { RenewalTask } from "../../src/regions/renewal_task.ts";
import type { RenewReport } from "../../src/regions/renew_report.ts";
import { AssignmentRow } from "../../src/shards/assignment_row.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import type { StoreMode } from "../../src/vms/store_mode.ts";
import { ManualClock } from "./manual_clock.ts";
import { SimulatedDispatchHost } from "./region_dispatch_host.ts";
import { RandomFaults } from "./random_faults.ts";
import { SimulatedCoordinatorLease } from "./simulated_coordinator_lease.ts";
import { SimulatedPeers } from "./simulated_peers.ts";
import { SimulatedProcess } from "./simulated_process.ts";
import { SimulatedTableService } from "./simulated_table_service.ts";
import { SimulatedUpstream } from "./simulated_upstream.ts";

type Router = {
  vm: string;
  process: SimulatedProcess;
  dispatchHost: SimulatedDispatchHost;
  assignments: AssignmentView;
  lease: SimulatedCoordinatorLease;
  leaving: AbortController;
  /** Whether the renewal task has ended. */
  hasLeft: boolean;
};

const REGION = "sierra";
const SHARDS_PER_SERVICE = 24;
const MAX_RUN_MS = 1000;
const CHECKS_GRANTS_BY_SERVICE = { ledger: true, usage: false };
/** Time without a read of the store after which a router is not `current`. */
const STORE_CONTACT_TIMEOUT_MS = 1500;
const STORE_POLL_INTERVAL_MS = 500;
const SILENT_LOGGER = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/**
 * Simulates the routers and upstreams of one region on a manual clock, around
 * the real coordinator and renewal task, and checks that no key and no upstream
 * has two owners. The service `ledger` checks grants, `usage` does not.
 */
export class OwnershipSimulation {
  readonly clock = new ManualClock();
  readonly faults: RandomFaults;
  readonly table: SimulatedTableService;
  readonly peers: SimulatedPeers;
  readonly upstreams = new Map<string, SimulatedUpstream>();
  readonly routers = new Map<string, Router>();
  /**
   * Earlier router processes of VMs on which another one was started since.
   * Those that were not killed may still hold leases.
   */
  readonly replacedRouters: Router[] = [];
  /** Digests of keys: one in each shard, and a second one in shard 3. */
  readonly keys: string[] = [];
  hotKeys: RenewReport["hotKeys"] = [];
  /**
   * Whether every request runs for the service's `maxRunMs`, rather than for a
   * random fraction of it.
   */
  useLongestRequests = false;
  /**
   * Whether a coordinator holds its lease after expiry, as in an outage with
   * the promises of all witnesses.
   */
  keepCoordinatorLeases = false;
  readonly vms: ListedVm[] = [];
  readonly #catalogue = new CatalogueView();
  readonly #vmListChanged = new ChangeNotifier();
  readonly #isolatedDomains = new Set<string>();
  #startedProcesses = 0;

  constructor(seed: number, size = { routers: 4, upstreams: 4 }) {
    this.faults = new RandomFaults(seed);
    this.table = new SimulatedTableService(this.clock, this.faults);
    this.peers = new SimulatedPeers(this.faults);
    for (let shard = 0; shard < SHARDS_PER_SERVICE; shard++) {
      const first = shard.toString(16).padStart(8, "0");
      this.keys.push(`${first}00000000`);
    }
    this.keys.push("0000000300000001");
    const domainOf = (index: number) => index % 2 === 0 ? "east" : "west";
    for (
      const [service, checksGrants] of Object.entries(CHECKS_GRANTS_BY_SERVICE)
    ) {
      for (let index = 0; index < size.upstreams; index++) {
        const id = `${service}-${index}`;
        const failureDomain = domainOf(index);
        this.upstreams.set(
          id,
          new SimulatedUpstream({ id, service, failureDomain, checksGrants }),
        );
        this.vms.push({
          id,
          kind: "upstream",
          address: "10.0.0.1:80",
          service,
          region: REGION,
          failureDomain,
          state: "live",
        });
      }
    }
    this.setOutOfService({ vms: [], failureDomains: [] });
    for (let index = 0; index < size.routers; index++) {
      const vm = `router-${index}`;
      this.vms.push({
        id: vm,
        kind: "entry",
        address: "10.0.0.2:80",
        region: REGION,
        failureDomain: domainOf(index),
        state: "live",
      });
      this.start(vm);
    }
  }

  setOutOfService(out: { vms: string[]; failureDomains: string[] }): void {
    const entry = (service: string, checksGrants: boolean) => ({
      owner: "owner",
      class: "interactive",
      service,
      match: { pathPrefix: `/${service}` },
      keySource: { kind: "header", name: "key" },
      homeRegions: [REGION],
      idempotent: false,
      checksGrants,
      limits: { ratePerS: 100, concurrency: 10 },
    });
    const service = {
      shards: SHARDS_PER_SERVICE,
      slots: 2,
      connections: 10,
      maxRunMs: MAX_RUN_MS,
      coldStart: { rampMs: 200 },
    };
    const document = CatalogueDocument.parse({
      schema: 1,
      services: Object.fromEntries(
        Object.keys(CHECKS_GRANTS_BY_SERVICE).map((name) => [name, service]),
      ),
      entries: Object.fromEntries(
        Object.entries(CHECKS_GRANTS_BY_SERVICE).map(([name, checksGrants]) => [
          name,
          entry(name, checksGrants),
        ]),
      ),
      out,
    });
    this.#catalogue.adopt({
      schema: 1,
      version: this.#catalogue.version + 1,
      author: "operator",
      at: "2026-01-01T00:00:00Z",
      writeId: "w",
      document,
    });
  }

  setListedState(id: string, state: ListedVm["state"]): void {
    const index = this.vms.findIndex((vm) => vm.id === id);
    this.vms[index] = { ...this.vms[index]!, state };
    this.#vmListChanged.notify();
  }

  /**
   * Partitions a failure domain from the network: its routers reach neither the
   * store nor any router, and no upstream is reachable across its border.
   */
  isolate(failureDomain: string): void {
    this.#isolatedDomains.add(failureDomain);
    for (const vm of this.vms) {
      if (vm.failureDomain === failureDomain) this.peers.isolated.add(vm.id);
    }
  }

  /** Ends the partition of a failure domain. */
  rejoin(failureDomain: string): void {
    this.#isolatedDomains.delete(failureDomain);
    for (const vm of this.vms) {
      if (vm.failureDomain === failureDomain) this.peers.isolated.delete(vm.id);
    }
  }

  /**
   * Starts a router process on a VM. An earlier process on the VM is not killed.
   */
  start(vm: string): Router {
    this.#startedProcesses += 1;
    const process = new SimulatedProcess(
      this.clock,
      this.#startedProcesses * 100_000,
    );
    const incarnation = `run-${this.#startedProcesses}`;
    const assignments = new AssignmentView();
    const failureDomain = this.vms.find(({ id }) => id === vm)!.failureDomain;
    const contact = this.#createStoreContact(vm, process);
    const common = {
      region: REGION,
      clock: process,
      logger: SILENT_LOGGER as unknown as Logger,
      contact,
      assignments,
      renewHoldMs: 300,
    };
    const lease = new SimulatedCoordinatorLease(
      { vm, incarnation, region: REGION, process },
      this.#createTableClient(vm, process),
    );
    lease.holdsAfterExpiry = () => this.keepCoordinatorLeases;
    const dispatchHost = new SimulatedDispatchHost({
      region: REGION,
      process,
      upstreamClockOffsetMs: this.clock.now() - process.now(),
      faults: this.faults,
      assignments,
      upstreams: this.upstreams,
      isUnreachable: (upstream) =>
        !upstream.reachable ||
        this.#isolatedDomains.has(upstream.failureDomain) !==
          this.#isolatedDomains.has(failureDomain),
      keys: this.keys,
      nextRunMs: () =>
        MAX_RUN_MS * (this.useLongestRequests ? 1 : this.faults.next()),
      hotKeys: () => this.hotKeys,
    });
    const coordinator = new Coordinator({
      ...common,
      lease,
      table: this.#createTableClient(vm, process),
      catalogue: this.#catalogue,
      listedVms: { vms: this.vms, changed: this.#vmListChanged },
      dispatchTtlMs: 2000,
    });
    const renewal = new RenewalTask({
      ...common,
      vm,
      incarnation,
      failureDomain,
      coordinators: lease,
      peers: this.peers.client(vm, process),
      dispatchers: dispatchHost,
      limits: { collect: () => [], apply: () => undefined },
    });
    const leaving = new AbortController();
    const router: Router = {
      vm,
      process,
      dispatchHost,
      assignments,
      lease,
      leaving,
      hasLeft: false,
    };
    this.peers.listen(vm, { process, handler: coordinator.renewal });
    void lease.run(true);
    void coordinator.run(process.signal);
    void renewal.run({ leaving: leaving.signal, signal: process.signal })
      .then(() => router.hasLeft = true);
    void dispatchHost.run();
    void this.#pollAssignments(vm, process, { assignments, contact });
    const previous = this.routers.get(vm);
    if (previous !== undefined) this.replacedRouters.push(previous);
    this.routers.set(vm, router);
    return router;
  }

  /**
   * Advances the clock, and checks ownership every 5 ms.
   *
   * @param ms - simulated time to advance, in milliseconds
   * @throws Error if a key or an upstream has two owners
   */
  async advance(ms: number): Promise<void> {
    for (let step = 0; step < ms; step += 5) {
      await this.clock.advance(5);
      this.checkOwnership();
    }
  }

  /**
   * Checks that at most one router dispatches for each upstream and accepts
   * each key, and that at most one upstream runs requests of each key and holds
   * the grant of each shard.
   *
   * @throws Error with the owners and the time if there are two
   */
  checkOwnership(): void {
    const now = this.clock.now();
    const routers = [...this.routers.values(), ...this.replacedRouters]
      .filter((router) => !router.process.signal.aborted);
    const upstreams = [...this.upstreams.values()];
    for (const upstream of upstreams) {
      const dispatchers = routers.filter((router) =>
        router.dispatchHost.dispatchesFor(upstream.id)
      ).map((router) => router.vm);
      this.#requireAtMostOne(
        dispatchers,
        `upstream ${upstream.id} has dispatchers`,
      );
    }
    for (const service of Object.keys(CHECKS_GRANTS_BY_SERVICE)) {
      const serviceUpstreams = upstreams.filter((upstream) =>
        upstream.service === service
      );
      for (const key of this.keys) {
        const acceptors = routers.flatMap(({ vm, dispatchHost }) => {
          const owner = dispatchHost.accepts(service, key);
          return owner === undefined ? [] : [`${vm}/${owner.upstream}`];
        });
        this.#requireAtMostOne(acceptors, `${service} ${key} accepted by`);
        const executing = serviceUpstreams.filter((upstream) =>
          upstream.isExecuting(key, now)
        );
        this.#requireAtMostOne(
          executing.map((upstream) => upstream.id),
          `${service} ${key} runs at`,
        );
        const unit = `shard:${Number.parseInt(key.slice(0, 8), 16)}`;
        const granted = serviceUpstreams.filter((upstream) =>
          upstream.checksGrants && upstream.hasGrant(unit, now)
        );
        this.#requireAtMostOne(
          granted.map((upstream) => upstream.id),
          `${service} ${unit} granted to`,
        );
      }
    }
  }

  /** @returns `SERVICE DIGEST` of each key that no running router accepts */
  unservedKeys(): string[] {
    return Object.keys(CHECKS_GRANTS_BY_SERVICE).flatMap((service) =>
      this.keys.filter((key) =>
        ![...this.routers.values()].some((router) =>
          !router.process.signal.aborted &&
          router.dispatchHost.accepts(service, key) !== undefined
        )
      ).map((key) => `${service} ${key}`)
    );
  }

  assignmentRow(service: string): AssignmentRow {
    const stored = this.table.rows.get(`assignments/${REGION}/${service}`);
    return AssignmentRow.parse(stored?.value);
  }

  /**
   * @returns number of shards by the ID of the upstream that owns them; `none`
   * counts the shards without an owner
   */
  shardCounts(service: string): Record<string, number> {
    const row = this.assignmentRow(service);
    const counts: Record<string, number> = {};
    for (const upstreamIndex of row.shards) {
      const id = row.upstreams[upstreamIndex]?.id ?? "none";
      counts[id] = (counts[id] ?? 0) + 1;
    }
    return counts;
  }

  #requireAtMostOne(owners: string[], subject: string): void {
    if (owners.length <= 1) return;
    throw new Error(`${subject} ${owners.join(", ")} at ${this.clock.now()}`);
  }

  #createTableClient(
    vm: string,
    process: SimulatedProcess,
  ): SimulatedTableService {
    const { table, peers } = this;
    const client = Object.create(table) as SimulatedTableService;
    client.transact = (transaction) =>
      peers.isolated.has(vm)
        ? table.failAfterDelay("unavailable")
        : table.transact(transaction).andThen((value) =>
          table.deliver(process, value)
        );
    client.readRows = (query) =>
      peers.isolated.has(vm)
        ? table.failAfterDelay("unavailable")
        : table.readRows(query)
          .andThen((value) => table.deliver(process, value));
    return client;
  }

  #createStoreContact(vm: string, process: SimulatedProcess) {
    let readAt = -Infinity;
    return {
      changed: new ChangeNotifier(),
      read: () => readAt = process.now(),
      mode: (): StoreMode => {
        if (process.now() - readAt < STORE_CONTACT_TIMEOUT_MS) return "current";
        return this.peers.isolated.has(vm) ? "cut_off" : "outage";
      },
    };
  }

  async #pollAssignments(
    vm: string,
    process: SimulatedProcess,
    views: { assignments: AssignmentView; contact: { read: () => void } },
  ): Promise<void> {
    const table = this.#createTableClient(vm, process);
    while (!process.signal.aborted) {
      const read = await table.readRows({ prefix: "assignments/", since: 0 });
      if (read.isOk()) {
        views.contact.read();
        for (const { revision, value } of read.value.rows) {
          views.assignments.adopt(revision, AssignmentRow.parse(value));
        }
      }
      await process.sleep(STORE_POLL_INTERVAL_MS, process.signal);
    }
  }
}
