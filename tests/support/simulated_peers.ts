import { err, ok, ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { RpcHandler } from "../../src/links/rpc_handler.ts";
import type { PeerClient } from "../../src/vms/peer_client.ts";
import type { PeerError } from "../../src/vms/peer_error.ts";
import type { RandomFaults } from "./random_faults.ts";
import type { SimulatedProcess } from "./simulated_process.ts";

type Listener = { process: SimulatedProcess; handler: RpcHandler };

/**
 * Network between simulated routers. Messages are delayed and lost at random, and
 * wait while the receiver is paused.
 */
export class SimulatedPeers {
  readonly #listeners = new Map<string, Listener>();
  /** VMs that can neither make nor receive calls. */
  readonly isolated = new Set<string>();
  readonly #faults: RandomFaults;

  constructor(faults: RandomFaults) {
    this.#faults = faults;
  }

  listen(vm: string, listener: Listener): void {
    this.#listeners.set(vm, listener);
  }

  client(vm: string, process: SimulatedProcess): PeerClient {
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
          const ended = new AbortController();
          const callSignal = AbortSignal.any([signal, ended.signal]);
          const timedOut = process.sleep(call.timeoutMs, callSignal)
            .then(() => undefined);
          const answer = await Promise.race([
            this.#exchange(vm, call, callSignal),
            timedOut,
          ]);
          ended.abort();
          await process.untilRunning();
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
    await this.#delayMessage(caller.process);
    const target = this.#listeners.get(call.peerUrl);
    if (
      target === undefined || target.process.signal.aborted ||
      this.isolated.has(from) || this.isolated.has(call.peerUrl) ||
      this.#faults.isLost()
    ) return never;
    await target.process.untilRunning();
    const params = target.handler.params.parse(sent);
    // In half of the calls the called router does not notice that the caller
    // has stopped waiting.
    const handlerSignal = this.#faults.next() < 0.5
      ? signal
      : new AbortController().signal;
    const answer = structuredClone(
      await target.handler.handle(params, handlerSignal),
    );
    await this.#delayMessage(caller.process);
    if (
      this.isolated.has(from) || this.isolated.has(call.peerUrl) ||
      this.#faults.isLost()
    ) return never;
    return answer;
  }

  /** Messages in transit arrive even if the sender is paused or killed. */
  async #delayMessage(process: SimulatedProcess): Promise<void> {
    await process.sleepEvenIfPaused(this.#faults.nextDelayMs());
  }
}
