import type { Clock } from "../base/clock.ts";
import type { MemberView } from "../vms/member_view.ts";
import { HopClient } from "./hop_client.ts";

/** Manages the hop clients, one for each router that this one sends to. */
export class HopClients {
  readonly #opts: {
    clock: Clock;
    members: MemberView;
    credential: string;
    signal: AbortSignal;
  };
  readonly #clients = new Map<
    string,
    { peerUrl: string; client: HopClient }
  >();

  /**
   * @param opts - clock, the registered routers, the credential that all
   * routers share, and the signal that closes all connections
   */
  constructor(opts: {
    clock: Clock;
    members: MemberView;
    credential: string;
    signal: AbortSignal;
  }) {
    this.#opts = opts;
    opts.signal.addEventListener("abort", () => {
      for (const { client } of this.#clients.values()) {
        void client.close(opts.signal);
      }
    }, { once: true });
    void this.#closeDeregistered();
  }

  /**
   * Returns the client for a router; creates it on first use and again after
   * the router's URL has changed.
   *
   * @param vm - VM of the router
   * @returns the client, or undefined if the router is not registered
   */
  get(vm: string): HopClient | undefined {
    const { clock, members, credential, signal } = this.#opts;
    const member = members.get(vm);
    if (member === undefined || signal.aborted) return undefined;
    const existing = this.#clients.get(vm);
    if (existing?.peerUrl === member.peerUrl) return existing.client;
    if (existing !== undefined) void existing.client.close(signal);
    const { peerUrl } = member;
    const client = new HopClient({ clock, peerUrl, credential });
    this.#clients.set(vm, { peerUrl, client });
    return client;
  }

  /** Closes clients of routers that are no longer registered. */
  async #closeDeregistered(): Promise<void> {
    const { members, signal } = this.#opts;
    while (!signal.aborted) {
      await members.changed.next(signal);
      for (const [vm, { client }] of this.#clients) {
        if (members.get(vm) !== undefined) continue;
        this.#clients.delete(vm);
        // A router that stops deregisters before its last responses, so
        // requests in flight are not aborted here.
        void client.close(signal);
      }
    }
  }
}
