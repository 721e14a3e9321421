import type { Clock } from "../base/clock.ts";
import type { MemberView } from "../vms/member_view.ts";
import { HopClient } from "./hop_client.ts";

/** One hop client for each router that this one sends to. */
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
   * @param opts - clock, the registered routers, credential of the routers, and
   * the signal that ends all connections
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
    void this.#forgetLost();
  }

  /**
   * @param vm - VM of the router
   * @returns the client that sends to it, or undefined if it is not registered
   */
  get(vm: string): HopClient | undefined {
    const { clock, members, credential, signal } = this.#opts;
    const member = members.get(vm);
    if (member === undefined || signal.aborted) return undefined;
    const known = this.#clients.get(vm);
    if (known?.peerUrl === member.peerUrl) return known.client;
    if (known !== undefined) void known.client.close(signal);
    const { peerUrl } = member;
    const client = new HopClient({ clock, peerUrl, credential });
    this.#clients.set(vm, { peerUrl, client });
    return client;
  }

  /** Closes clients of routers that are no longer registered. */
  async #forgetLost(): Promise<void> {
    const { members, signal } = this.#opts;
    while (!signal.aborted) {
      await members.changed.next(signal);
      for (const [vm, { client }] of this.#clients) {
        if (members.get(vm) !== undefined) continue;
        this.#clients.delete(vm);
        // A router that leaves removes its row while it still answers, so
        // requests in flight are not cut here.
        void client.close(signal);
      }
    }
  }
}
