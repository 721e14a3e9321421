import type { IncomingMessage } from "node:http";
import type { ByteBudget } from "../limits/byte_budget.ts";
import { GrowingBuffer } from "./growing_buffer.ts";

type Result =
  | { kind: "read"; body: Uint8Array }
  | { kind: "too_large" }
  /** The bodies of all requests use the memory that they may use. */
  | { kind: "no_memory" }
  /** The signal aborted before the end of the body. */
  | { kind: "slow" }
  /** The caller disconnected, so no answer is due. */
  | { kind: "gone" };

/**
 * Reads the body of one request into memory that is limited for the bodies of
 * all requests together.
 */
export class CallerBody {
  readonly #req: IncomingMessage;
  readonly #budget: ByteBudget;
  #taken = 0;

  /**
   * @param req - the request
   * @param budget - memory for the bodies of all requests
   */
  constructor(req: IncomingMessage, budget: ByteBudget) {
    this.#req = req;
    this.#budget = budget;
  }

  /**
   * @param maxBytes - limit of this body
   * @param signal - ends the wait for a caller that does not send the rest
   * @returns the body, or why it is not available
   */
  read(maxBytes: number, signal: AbortSignal): Promise<Result> {
    const req = this.#req;
    const length = Number(req.headers["content-length"] ?? 0);
    const refusal = this.#reserve(length, maxBytes);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const received = new GrowingBuffer(length);
      const end = (result: Result) => {
        req.off("data", onData).off("end", onEnd).off("close", onClose);
        signal.removeEventListener("abort", onAbort);
        // What follows is discarded or read by whoever answers the request.
        req.pause();
        resolve(result);
      };
      const onData = (chunk: Buffer) => {
        const refused = this.#reserve(received.size + chunk.length, maxBytes);
        if (refused === undefined) received.append(chunk);
        else end(refused);
      };
      const onEnd = () => end({ kind: "read", body: received.bytes });
      const onClose = () => end({ kind: "gone" });
      const onAbort = () => end({ kind: "slow" });
      if (req.destroyed) onClose();
      else if (signal.aborted) onAbort();
      else {
        signal.addEventListener("abort", onAbort, { once: true });
        req.on("data", onData).once("end", onEnd).once("close", onClose);
      }
    });
  }

  /** Returns the memory; the body must no longer be used. */
  release(): void {
    this.#budget.give(this.#taken);
    this.#taken = 0;
  }

  /** Reserves memory for `size` bytes in all; returns why that fails, if so. */
  #reserve(size: number, maxBytes: number): Result | undefined {
    if (size > maxBytes) return { kind: "too_large" };
    const missing = size - this.#taken;
    if (missing <= 0) return undefined;
    if (!this.#budget.take(missing)) return { kind: "no_memory" };
    this.#taken = size;
    return undefined;
  }
}
