import { err, ok, ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { RpcHandler } from "../../src/links/rpc_handler.ts";
import type { PeerClient } from "../../src/vms/peer_client.ts";
import type { PeerError } from "../../src/vms/peer_error.ts";
import type { RegionFaults } from "./region_faults.ts";
import type { RegionProcess } from "./region_process.ts";

type Listener = { process: RegionProcess; handler: RpcHandler };

/** Calls between simulated routers: delayed, lost, and held by pauses. */
export class RegionPeers {
  readonly #listeners = new Map<string, Listener>();
  /** VMs that no call leaves or reaches. */
  readonly cut = new Set<string>();
  readonly #faults: RegionFaults;

  constructor(faults: RegionFaults) {
    this.#faults = faults;
  }

  listen(vm: string, listener: Listener): void {
    this.#listeners.set(vm, listener);
  }

  client(vm: string, process: RegionProcess): PeerClient {
    return {
      call: <Schema extends z.ZodType>(
        call: {
          peerUrl: string;
          params: unknown;
          result: Schema;
          timeoutMs: number;
        },
        signal: AbortSignal,
      ) =>
        new ResultAsync<z.infer<Schema>, PeerError>((async () => {
          const over = new AbortController();
          const limited = AbortSignal.any([signal, over.signal]);
          const failed = process.sleep(call.timeoutMs, limited)
            .then(() => undefined);
          const answer = await Promise.race([
            this.#exchange(vm, call, limited),
            failed,
          ]);
          over.abort();
          await process.running();
          if (answer === undefined || signal.aborted) {
            return err({ kind: "timeout" as const, message: "no answer" });
          }
          return ok(call.result.parse(answer));
        })()),
    };
  }

  async #exchange(
    from: string,
    call: { peerUrl: string; params: unknown },
    signal: AbortSignal,
  ): Promise<unknown> {
    const sent = structuredClone(call.params);
    const never = new Promise<undefined>(() => undefined);
    const caller = this.#listeners.get(from)!;
    await this.#travel(caller.process);
    const target = this.#listeners.get(call.peerUrl);
    if (
      target === undefined || target.process.signal.aborted ||
      this.cut.has(from) || this.cut.has(call.peerUrl) || this.#faults.lost()
    ) return never;
    await target.process.running();
    const params = target.handler.params.parse(sent);
    // Half of the time the called router does not notice the end of a call.
    const noticed = this.#faults.next() < 0.5
      ? signal
      : new AbortController().signal;
    const answer = structuredClone(
      await target.handler.handle(params, noticed),
    );
    await this.#travel(caller.process);
    if (
      this.cut.has(from) || this.cut.has(call.peerUrl) || this.#faults.lost()
    ) return never;
    return answer;
  }

  /** Messages travel on even if their sender is paused or killed. */
  async #travel(process: RegionProcess): Promise<void> {
    await process.elapse(this.#faults.delayMs());
  }
}
