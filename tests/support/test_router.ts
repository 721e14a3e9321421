import { setMaxListeners } from "node:events";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import type { TableService } from "../../src/contracts/table_service.ts";
import { CoordinatorLease } from "../../src/regions/coordinator_lease.ts";
import { Settings } from "../../src/settings/settings.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import { CoordinatorView } from "../../src/vms/coordinator_view.ts";
import { MemberRegistration } from "../../src/vms/member_registration.ts";
import { MemberView } from "../../src/vms/member_view.ts";
import { StoreContact } from "../../src/vms/store_contact.ts";
import { StorePoller } from "../../src/vms/store_poller.ts";
import { VmListPoller } from "../../src/vms/vm_list_poller.ts";
import type { VmList } from "../../src/contracts/vm_list.ts";
import type { ManualClock } from "./manual_clock.ts";
import type { MemoryPeers } from "./memory_peers.ts";
import type { MemoryTableService } from "./memory_table_service.ts";
import { PausableClock } from "./pausable_clock.ts";
import { silentLogger } from "./silent_logger.ts";

const DEFAULT_TIMING = Settings.shape.timing.parse({});

/**
 * One router process with the tasks that use the store and other routers: store
 * polling, VM list, witnesses, registration and coordinator lease.
 */
export class TestRouter {
  readonly vm: string;
  readonly incarnation: string;
  readonly peerUrl: string;
  readonly clock: PausableClock;
  readonly views = {
    catalogue: new CatalogueView(),
    members: new MemberView(),
    coordinators: new CoordinatorView(),
    assignments: new AssignmentView(),
  };
  readonly poller: StorePoller;
  readonly vmList: VmListPoller;
  readonly contact: StoreContact;
  readonly registration: MemberRegistration;
  readonly lease: CoordinatorLease;
  alive = true;

  readonly #peers: MemoryPeers;
  readonly #stopped = new AbortController();

  constructor(
    options: {
      vm: string;
      incarnation: string;
      region?: string;
      failureDomain: string;
      base: ManualClock;
      offsetMs?: number;
      store: MemoryTableService;
      peers: MemoryPeers;
      vmList: VmList;
      /** Replaces `StoreContact`, to show that one of its rules is needed. */
      Contact?: typeof StoreContact;
      /** Wraps the store client of this process. */
      table?: (table: TableService) => TableService;
    },
  ) {
    const region = options.region ?? "sierra";
    this.vm = options.vm;
    this.incarnation = options.incarnation;
    this.peerUrl = `http://${options.vm}`;
    this.#peers = options.peers;
    this.clock = new PausableClock(options.base, options.offsetMs ?? 0);
    const clock = this.clock;
    const logger = silentLogger();
    const client = options.store.client(options.vm, clock);
    const table = options.table?.(client) ?? client;
    // Each task and each call in progress adds a listener.
    setMaxListeners(100, this.#stopped.signal);
    const peers = options.peers.client(options.vm, clock);
    const self = {
      vm: options.vm,
      incarnation: options.incarnation,
      region,
      failureDomain: options.failureDomain,
      peerUrl: this.peerUrl,
    };
    this.poller = new StorePoller({
      table,
      clock,
      logger,
      pollMs: DEFAULT_TIMING.storePollMs,
      timeoutMs: DEFAULT_TIMING.storeContactMs,
      views: this.views,
    });
    this.vmList = new VmListPoller({
      list: options.vmList,
      clock,
      logger,
      pollMs: DEFAULT_TIMING.vmListPollMs,
    });
    this.contact = new (options.Contact ?? StoreContact)({
      self,
      timing: DEFAULT_TIMING,
      clock,
      logger,
      poller: this.poller,
      views: this.views,
      peers,
      vmList: this.vmList,
    });
    this.registration = new MemberRegistration({
      table,
      clock,
      logger,
      self,
      contact: this.contact,
      members: this.views.members,
      vmList: this.vmList,
    });
    this.lease = new CoordinatorLease({
      table,
      clock,
      logger,
      self,
      ttlMs: DEFAULT_TIMING.coordinatorTtlMs,
      renewMs: DEFAULT_TIMING.coordinatorRenewMs,
      contact: this.contact,
      poller: this.poller,
      registration: this.registration,
      members: this.views.members,
      coordinators: this.views.coordinators,
      vmList: this.vmList,
    });
  }

  start(): void {
    this.#peers.listen(this.peerUrl, {
      vm: this.vm,
      process: this.clock,
      handlers: this.contact.handlers(),
    });
    const { signal } = this.#stopped;
    void this.poller.run(signal);
    void this.vmList.run(signal);
    void this.contact.run(signal);
    void this.registration.run(signal);
    void this.lease.run(signal);
  }

  /** Ends the process at once. It notifies neither the store nor a router. */
  kill(): void {
    this.alive = false;
    // Pending calls and timers of the process do not complete while its clock
    // is paused.
    this.clock.paused = true;
    this.#stopped.abort();
    this.#peers.close(this.peerUrl);
  }

  /**
   * Stops the process in the order given by docs/design.md: it releases the
   * lease, notifies the other routers and removes its member row.
   */
  async stop(): Promise<void> {
    const deadline = new AbortController();
    void this.clock.sleep(3000).then(() => deadline.abort());
    await this.lease.release(deadline.signal);
    await this.contact.leave(deadline.signal);
    this.#stopped.abort();
    await this.registration.remove(deadline.signal);
    this.kill();
  }
}
