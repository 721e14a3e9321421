import { HttpPeerClient } from "../vms/http_peer_client.ts";
import { MemberRegistration } from "../vms/member_registration.ts";
import { StoreContact } from "../vms/store_contact.ts";
import { StorePoller } from "../vms/store_poller.ts";
import { VmListPoller } from "../vms/vm_list_poller.ts";
import type { DaemonContext } from "./daemon_context.ts";

/**
 * Registers this router as a member, and keeps its contact with the table
 * service, the VM list and the other routers.
 */
export class Membership {
  readonly peers: HttpPeerClient;
  readonly poller: StorePoller;
  readonly vmList: VmListPoller;
  readonly contact: StoreContact;
  readonly registration: MemberRegistration;
  readonly #context: DaemonContext;
  readonly #registrationStop = new AbortController();
  #registrationEnded: Promise<void> = Promise.resolve();

  /**
   * @param context - settings, views and clients that the process shares
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
   * Runs all tasks until the signal of the process aborts.
   */
  async run(): Promise<void> {
    const { signal } = this.#context;
    const stopSignal = AbortSignal.any([signal, this.#registrationStop.signal]);
    this.#registrationEnded = this.registration.run(stopSignal);
    await Promise.all([
      this.poller.run(signal),
      this.vmList.run(signal),
      this.contact.run(signal),
      this.#registrationEnded,
    ]);
  }

  /**
   * Notifies the other routers that this one leaves, and then removes its
   * member row from the table service. The coordinator lease must have been
   * released before.
   *
   * @param signal - ends the attempts
   */
  async leave(signal: AbortSignal): Promise<void> {
    await this.contact.leave(signal);
    this.#registrationStop.abort();
    await this.#registrationEnded;
    await this.registration.remove(signal);
  }
}
