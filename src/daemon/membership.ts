import { HttpPeerClient } from "../vms/http_peer_client.ts";
import { MemberRegistration } from "../vms/member_registration.ts";
import { StoreContact } from "../vms/store_contact.ts";
import { StorePoller } from "../vms/store_poller.ts";
import { VmListPoller } from "../vms/vm_list_poller.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** Contact with the table service, the VM list and the other routers. */
export class Membership {
  readonly peers: HttpPeerClient;
  readonly poller: StorePoller;
  readonly vmList: VmListPoller;
  readonly contact: StoreContact;
  readonly registration: MemberRegistration;
  readonly #context: DaemonContext;
  readonly #registered = new AbortController();
  #registering: Promise<void> = Promise.resolve();

  /**
   * @param context - shared parts of the process
   */
  constructor(context: DaemonContext) {
    this.#context = context;
    const { cfg, clock, logger, platform, self, signal, views } = context;
    const { table } = platform;
    this.peers = new HttpPeerClient({
      credential: context.peerCredential,
      clock,
      signal,
    });
    this.poller = new StorePoller({
      table,
      clock,
      logger,
      pollMs: cfg.timing.storePollMs,
      timeoutMs: cfg.timing.storeContactMs,
      views,
    });
    this.vmList = new VmListPoller({
      list: platform.vmList,
      clock,
      logger,
      pollMs: cfg.timing.vmListPollMs,
    });
    this.contact = new StoreContact({
      self,
      timing: cfg.timing,
      clock,
      logger,
      poller: this.poller,
      views,
      peers: this.peers,
      vmList: this.vmList,
    });
    this.registration = new MemberRegistration({
      table,
      clock,
      logger,
      self,
      contact: this.contact,
      members: views.members,
      vmList: this.vmList,
    });
  }

  /**
   * Runs all tasks until the process ends.
   */
  async run(): Promise<void> {
    const { signal } = this.#context;
    const registration = AbortSignal.any([signal, this.#registered.signal]);
    this.#registering = this.registration.run(registration);
    await Promise.all([
      this.poller.run(signal),
      this.vmList.run(signal),
      this.contact.run(signal),
      this.#registering,
    ]);
  }

  /**
   * Tells the other routers and the table service that this one leaves. The
   * coordinator lease must have been released before.
   *
   * @param signal - gives up
   */
  async leave(signal: AbortSignal): Promise<void> {
    await this.contact.leave(signal);
    this.#registered.abort();
    await this.#registering;
    await this.registration.remove(signal);
  }
}
