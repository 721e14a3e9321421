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

const TIMING = Settings.shape.timing.parse({});

/** One router process as far as it concerns the store and other routers. */
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
  readonly #end = new AbortController();

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
      /** Replaces the contact, to check that a rule of it is needed. */
      Contact?: typeof StoreContact;
      /** Changes what this process sees of the store. */
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
    // Each task and each running call listens.
    setMaxListeners(100, this.#end.signal);
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
      pollMs: TIMING.storePollMs,
      timeoutMs: TIMING.storeContactMs,
      views: this.views,
    });
    this.vmList = new VmListPoller({
      list: options.vmList,
      clock,
      logger,
      pollMs: TIMING.vmListPollMs,
    });
    this.contact = new (options.Contact ?? StoreContact)({
      self,
      timing: TIMING,
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
      ttlMs: TIMING.coordinatorTtlMs,
      renewMs: TIMING.coordinatorRenewMs,
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
    const { signal } = this.#end;
    void this.poller.run(signal);
    void this.vmList.run(signal);
    void this.contact.run(signal);
    void this.registration.run(signal);
    void this.lease.run(signal);
  }

  /** Ends the process without a word. */
  kill(): void {
    this.alive = false;
    // Whatever its tasks wait for never comes.
    this.clock.paused = true;
    this.#end.abort();
    this.#peers.close(this.peerUrl);
  }

  /** Ends the process in the order that the design page gives. */
  async stop(): Promise<void> {
    const limit = new AbortController();
    void this.clock.sleep(3000).then(() => limit.abort());
    await this.lease.release(limit.signal);
    await this.contact.leave(limit.signal);
    this.#end.abort();
    await this.registration.remove(limit.signal);
    this.kill();
  }
}
