import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { Clock } from "../../src/base/clock.ts";
import type { RpcHandler } from "../../src/links/rpc_handler.ts";
import type { PeerClient } from "../../src/vms/peer_client.ts";
import type { PeerError } from "../../src/vms/peer_error.ts";
import type { PausableClock } from "./pausable_clock.ts";

type Listener = {
  vm: string;
  process: PausableClock;
  handlers: readonly RpcHandler[];
};

/** Network between routers in memory. */
export class MemoryPeers {
  /** Delay of a request, and again of its answer, in milliseconds. */
  delayMs = 1;
  /** Calls sent so far, by method. */
  readonly calls: string[] = [];

  readonly #clock: Clock;
  readonly #listeners = new Map<string, Listener>();
  readonly #downLinks = new Set<string>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts or replaces the listener of a process. */
  listen(peerUrl: string, listener: Listener): void {
    this.#listeners.set(peerUrl, listener);
  }

  /** Closes the listener. Requests in transit to it get no answer. */
  close(peerUrl: string): void {
    this.#listeners.delete(peerUrl);
  }

  /** Disconnects or restores the link between two VMs, in both directions. */
  setLinkDown(a: string, b: string, isDown: boolean): void {
    for (const pair of [`${a} ${b}`, `${b} ${a}`]) {
      if (isDown) this.#downLinks.add(pair);
      else this.#downLinks.delete(pair);
    }
  }

  /** Restores every link. */
  heal(): void {
    this.#downLinks.clear();
  }

  /** Returns the network as one process sees it. */
  client(vm: string, process: PausableClock): PeerClient {
    return {
      call: (call, signal) =>
        new ResultAsync(this.#call({ vm, process }, call, signal)),
    };
  }

  async #call<Schema extends z.ZodType>(
    caller: { vm: string; process: PausableClock },
    call: Parameters<PeerClient["call"]>[0] & { result: Schema },
    signal: AbortSignal,
  ): Promise<Result<z.infer<Schema>, PeerError>> {
    this.calls.push(call.method);
    const done = new AbortController();
    const abort = () => done.abort();
    signal.addEventListener("abort", abort, { once: true });
    const timeout: Promise<Result<unknown, PeerError>> = caller.process
      .sleep(call.timeoutMs, done.signal)
      .then(() => err({ kind: "timeout", message: call.method }));
    const result = await Promise.race([
      this.#deliver(caller.vm, call, signal),
      timeout,
    ]);
    await caller.process.untilRunning();
    signal.removeEventListener("abort", abort);
    done.abort();
    if (result.isErr()) return err(result.error);
    const parsed = call.result.safeParse(result.value);
    return parsed.success
      ? ok(parsed.data)
      : err({ kind: "malformed", message: call.method });
  }

  async #deliver(
    from: string,
    call: { peerUrl: string; method: string; params: unknown },
    signal: AbortSignal,
  ): Promise<Result<unknown, PeerError>> {
    const params: unknown = JSON.parse(JSON.stringify(call.params));
    await this.#clock.sleep(this.delayMs);
    const listener = this.#listeners.get(call.peerUrl);
    if (listener === undefined) {
      return err({ kind: "unreachable", message: "connection refused" });
    }
    const never = new Promise<never>(() => undefined);
    if (this.#downLinks.has(`${from} ${listener.vm}`)) return await never;
    await listener.process.untilRunning();
    if (this.#listeners.get(call.peerUrl) !== listener) return await never;
    const handler = listener.handlers.find((candidate) =>
      candidate.method === call.method
    );
    if (handler === undefined) {
      return err({ kind: "rejected", code: -32601, message: call.method });
    }
    const checked = handler.params.safeParse(params);
    if (!checked.success) {
      return err({ kind: "rejected", code: -32602, message: call.method });
    }
    const answer: unknown = JSON.parse(
      JSON.stringify(await handler.handle(checked.data, signal)),
    );
    await this.#clock.sleep(this.delayMs);
    if (this.#downLinks.has(`${from} ${listener.vm}`)) return await never;
    return ok(answer);
  }
}
