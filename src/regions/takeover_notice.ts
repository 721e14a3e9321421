import { z } from "zod";
import type { RpcHandler } from "../links/rpc_handler.ts";
import type { MemberView } from "../vms/member_view.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import type { CoordinatorLeaseView } from "./coordinator_lease_view.ts";

const METHOD = "coordinator.changed";
const NOTICE_TIMEOUT_MS = 500;

const Params = z.looseObject({ epoch: z.int().positive() });

type Deps = {
  vm: string;
  region: string;
  lease: Pick<CoordinatorLeaseView, "held" | "changed">;
  members: MemberView;
  peers: PeerClient;
  /** Polls the table service at once. */
  pollNow: () => void;
};

/**
 * Notifies the routers of a region of a new coordinator. Without the notice
 * they would find it with their next poll of the table service, up to 500 ms
 * later, which is a quarter of the dispatch lease that they have to renew with
 * it.
 */
export class TakeoverNotice {
  /** Handler of `coordinator.changed`. */
  readonly handler: RpcHandler = {
    method: METHOD,
    params: Params,
    handle: () => {
      this.#deps.pollNow();
      return Promise.resolve({});
    },
  };

  readonly #deps: Deps;

  /**
   * @param deps - own identity, the lease to watch, and how to reach routers
   */
  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /**
   * Sends a notice whenever this router has acquired the lease.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    const { lease } = this.#deps;
    let announcedEpoch = 0;
    while (!signal.aborted) {
      const epoch = lease.held()?.epoch ?? announcedEpoch;
      if (epoch > announcedEpoch) {
        announcedEpoch = epoch;
        this.#announce(epoch, signal);
      }
      await lease.changed.next(signal);
    }
  }

  #announce(epoch: number, signal: AbortSignal): void {
    const { vm, region, members, peers, pollNow } = this.#deps;
    pollNow();
    for (const member of members.all()) {
      if (member.region !== region || member.vm === vm) continue;
      // A router that does not receive the notice finds the row with its next
      // poll.
      void peers.call({
        peerUrl: member.peerUrl,
        method: METHOD,
        params: { epoch },
        result: z.looseObject({}),
        timeoutMs: NOTICE_TIMEOUT_MS,
      }, signal);
    }
  }
}
