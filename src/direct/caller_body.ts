import type { IncomingMessage } from "node:http";
import type { ByteBudget } from "../limits/byte_budget.ts";

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
      const chunks: Buffer[] = [];
      let size = 0;
      const end = (result: Result) => {
        req.off("data", onData).off("end", onEnd).off("close", onClose);
        signal.removeEventListener("abort", onAbort);
        // What follows is discarded or read by whoever answers the request.
        req.pause();
        resolve(result);
      };
      const onData = (chunk: Buffer) => {
        size += chunk.length;
        const refused = this.#reserve(size, maxBytes);
        if (refused === undefined) chunks.push(chunk);
        else end(refused);
      };
      const onEnd = () => {
        const [first] = chunks;
        // Avoids a copy of the usual body.
        const body = first !== undefined && chunks.length === 1
          ? first
          : Buffer.concat(chunks, size);
        end({ kind: "read", body });
      };
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
