import { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import { BodyFailure } from "./body_failure.ts";
import type { ExpiryTimer } from "./expiry_timer.ts";

/**
 * Streams a caller's body that is too long to be buffered. Nothing is read from
 * the caller before this stream is read. Fails with a `BodyFailure` if the body
 * is too long or the caller sends too slowly.
 */
export class CallerBodyStream extends Readable {
  readonly #opts: ConstructorParameters<typeof CallerBodyStream>[0];
  readonly #expiry: { at: number; onExpiry: () => void };
  #bytes = 0;
  #started = false;

  /**
   * @param opts - the caller's body, the chunks of it that were read already,
   * the longest body in bytes, the longest pause between chunks in
   * milliseconds, clock, the timer of pauses, and a callback before the first
   * read from the caller
   */
  constructor(opts: {
    source: Readable;
    prefix: Buffer[];
    maxBytes: number;
    maxPauseMs: number;
    clock: Clock;
    timer: ExpiryTimer;
    onStart: () => void;
  }) {
    super();
    this.#opts = opts;
    this.#expiry = {
      at: Number.POSITIVE_INFINITY,
      onExpiry: () => {
        this.destroy(
          new BodyFailure("slow_sender", "the body arrives too slowly"),
        );
      },
    };
    // The reader may have detached before the caller disconnects; the error
    // must not become an uncaught exception.
    this.on("error", () => undefined);
  }

  /** {@inheritDoc} */
  override _read(): void {
    if (!this.#started) {
      this.#started = true;
      this.#start();
    }
    // The pause counts only while this stream waits for the caller.
    this.#expiry.at = this.#opts.clock.now() + this.#opts.maxPauseMs;
    this.#opts.source.resume();
  }

  /** {@inheritDoc} */
  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    const { source, timer } = this.#opts;
    timer.remove(this.#expiry);
    source.off("data", this.#onData);
    // Without an error the caller has its response, and Node.js reads and
    // discards the remaining body.
    if (err !== null) source.pause();
    callback(err);
  }

  #start(): void {
    const { source, prefix, timer, onStart } = this.#opts;
    onStart();
    timer.add(this.#expiry);
    for (const chunk of prefix) {
      this.#bytes += chunk.length;
      this.push(chunk);
    }
    source.on("data", this.#onData);
    source.once("end", () => this.push(null));
    source.once("error", (err) => this.destroy(err));
    source.once("close", () => {
      if (!source.readableEnded) {
        this.destroy(new Error("the caller went away"));
      }
    });
  }

  readonly #onData = (chunk: Buffer): void => {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#opts.maxBytes) {
      this.destroy(
        new BodyFailure(
          "body_too_large",
          `the body is longer than ${this.#opts.maxBytes} bytes`,
        ),
      );
      return;
    }
    // No pause is timed until the reader asks for more, which calls `_read`.
    this.#expiry.at = Number.POSITIVE_INFINITY;
    if (!this.push(chunk)) this.#opts.source.pause();
  };
}
