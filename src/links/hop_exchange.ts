import { isHttpStatus } from "../base/is_http_status.ts";
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Refusal } from "../base/refusal.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { HOP_HEADER } from "./hop_header.ts";
import { parseRefusal } from "./parse_refusal.ts";

const MAX_REFUSAL_BYTES = 64 * 1024;

function decodeRawHeaders(raw: unknown): string[] {
  if (!Array.isArray(raw)) return [];
  // Latin-1 preserves every byte of a header value, UTF-8 decoding does not.
  return raw.map((part: unknown) =>
    Buffer.isBuffer(part) ? part.toString("latin1") : String(part)
  );
}

/** Body of a response; reads from the connection only as fast as it is read. */
class ResponseBody extends Readable {
  readonly #controller: Dispatcher.DispatchController;

  constructor(controller: Dispatcher.DispatchController) {
    super();
    this.#controller = controller;
  }

  override _read(): void {
    this.#controller.resume();
  }

  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    if (!this.readableEnded) {
      this.#controller.abort(
        err ?? new Error("the response body was discarded"),
      );
    }
    callback(err);
  }
}

/** One request over a peer hop, from queueing to the end of its response. */
export class HopExchange implements Dispatcher.DispatchHandler {
  readonly outcome: Promise<DispatchOutcome>;
  #resolve!: (outcome: DispatchOutcome) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #body: ResponseBody | undefined;
  #refusal: { chunks: Buffer[]; bytes: number } | undefined;
  #cancelled: Error | undefined;
  #sentAt: number | undefined;
  #lastReceivedAt: number | undefined;
  readonly #now: () => number;
  readonly #onEnd: () => void;

  /**
   * @param now - returns monotonic time in milliseconds
   * @param onEnd - called when the response has ended or failed
   */
  constructor(now: () => number, onEnd: () => void) {
    this.#now = now;
    this.#onEnd = onEnd;
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /**
   * @returns when something was last received for the request, or when it was
   * sent if nothing was; undefined if it was not sent or its final response has
   * begun
   */
  get silentSince(): number | undefined {
    const responseBegun = this.#body !== undefined ||
      this.#refusal !== undefined;
    return responseBegun ? undefined : this.#lastReceivedAt ?? this.#sentAt;
  }

  /**
   * Cancels the request. The outcome is `not_run` if it was not sent yet.
   *
   * @param message - the reason, for the refusal
   */
  cancel(message: string): void {
    if (this.#cancelled !== undefined) return;
    this.#cancelled = new Error(message);
    if (this.#body !== undefined) this.#body.destroy(this.#cancelled);
    else this.#controller?.abort(this.#cancelled);
    this.#fail(message);
  }

  /** {@inheritDoc} */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    // A second start would resend a request that may have run.
    if (this.#controller !== undefined || this.#cancelled !== undefined) {
      controller.abort(
        this.#cancelled ?? new Error("connection lost"),
      );
      return;
    }
    this.#controller = controller;
    this.#sentAt = this.#now();
  }

  /** {@inheritDoc} */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    this.#lastReceivedAt = this.#now();
    if (!isHttpStatus(status)) {
      controller.abort(new Error(`unexpected answer with status ${status}`));
      return;
    }
    if (status < 200) return;
    const raw = decodeRawHeaders(controller.rawHeaders);
    const headers = new Map<string, string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
      headers.set((raw[i] ?? "").toLowerCase(), raw[i + 1] ?? "");
    }
    if (headers.has(HOP_HEADER.refusal)) {
      this.#refusal = { chunks: [], bytes: 0 };
      return;
    }
    const waitMs = Number(headers.get(HOP_HEADER.waitMs) ?? Number.NaN);
    if (!Number.isFinite(waitMs)) {
      // The response is not from the peer's hop server, e.g. because the HTTP
      // server rejected the message itself.
      controller.abort(new Error(`unexpected answer with status ${status}`));
      return;
    }
    this.#body = new ResponseBody(controller);
    // The reader may have detached before the stream fails; the error must not
    // become an uncaught exception.
    this.#body.on("error", () => undefined);
    this.#resolve({
      kind: "response",
      status,
      headers: endToEndHeaders(raw),
      body: this.#body,
      waitMs,
    });
  }

  /** {@inheritDoc} */
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#refusal !== undefined) {
      this.#refusal.bytes += chunk.length;
      if (this.#refusal.bytes > MAX_REFUSAL_BYTES) {
        controller.abort(
          new Error("refusal is too long"),
        );
        return;
      }
      this.#refusal.chunks.push(chunk);
    } else if (this.#body?.push(chunk) === false) {
      controller.pause();
    }
  }

  /** {@inheritDoc} */
  onResponseEnd(): void {
    if (this.#refusal !== undefined) {
      const refusal = parseRefusal(Buffer.concat(this.#refusal.chunks));
      if (refusal === undefined) this.#fail("the peer's refusal is malformed");
      else this.#resolve({ kind: "refused", refusal });
    }
    this.#body?.push(null);
    this.#onEnd();
  }

  /** {@inheritDoc} */
  onResponseError(_: Dispatcher.DispatchController, err: Error): void {
    if (this.#body === undefined) this.#fail(err.message);
    else this.#body.destroy(err);
    this.#onEnd();
  }

  #fail(message: string): void {
    const refusal: Refusal = this.#sentAt === undefined
      ? {
        code: "upstream_unavailable",
        outcome: "not_run",
        message: `the dispatcher was not reached: ${message}`,
        data: { failurePoint: "not_connected" },
      }
      : {
        code: "upstream_failed",
        outcome: "outcome_unknown",
        message: `no answer from the dispatcher: ${message}`,
      };
    this.#resolve({ kind: "refused", refusal });
  }
}
