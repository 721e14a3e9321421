import { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import { BodyFailure } from "./body_failure.ts";
import type { ExpiryWatch } from "./expiry_watch.ts";

/**
 * A caller's body that is too long to be kept. Nothing is read from the caller
 * before somebody reads from this stream. It fails with a `BodyFailure` if the
 * body is too long or the caller too slow.
 */
export class CallerBodyStream extends Readable {
  readonly #opts: ConstructorParameters<typeof CallerBodyStream>[0];
  readonly #expiry: { at: number; onExpiry: () => void };
  #bytes = 0;
  #started = false;

  /**
   * @param opts - the caller's body, the part of it that was read already, the
   * longest body in bytes, the longest pause in milliseconds, and what to call
   * before the first read from the caller
   */
  constructor(opts: {
    source: Readable;
    prefix: Buffer[];
    limit: number;
    pauseMs: number;
    clock: Clock;
    watch: ExpiryWatch;
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
    // The reader may be gone when the caller goes.
    this.on("error", () => undefined);
  }

  /** {@inheritDoc} */
  override _read(): void {
    if (!this.#started) {
      this.#started = true;
      this.#start();
    }
    // The pause counts only while this stream waits for the caller.
    this.#expiry.at = this.#opts.clock.now() + this.#opts.pauseMs;
    this.#opts.source.resume();
  }

  /** {@inheritDoc} */
  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    const { source, watch } = this.#opts;
    watch.remove(this.#expiry);
    source.off("data", this.#onData);
    // Without an error the caller has been answered, and Node reads and drops
    // the rest of the body.
    if (err !== null) source.pause();
    callback(err);
  }

  #start(): void {
    const { source, prefix, watch, onStart } = this.#opts;
    onStart();
    watch.add(this.#expiry);
    for (const part of prefix) {
      this.#bytes += part.length;
      this.push(part);
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

  readonly #onData = (part: Buffer): void => {
    this.#bytes += part.length;
    if (this.#bytes > this.#opts.limit) {
      this.destroy(
        new BodyFailure(
          "body_too_large",
          `the body is longer than ${this.#opts.limit} bytes`,
        ),
      );
      return;
    }
    // `_read` is called again when more is wanted.
    this.#expiry.at = Number.POSITIVE_INFINITY;
    if (!this.push(part)) this.#opts.source.pause();
  };
}
