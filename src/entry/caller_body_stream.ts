import { Readable } from "node:stream";
import type { Clock } from "../base/clock.ts";
import { BodyFailure } from "./body_failure.ts";

/**
 * A caller's body that is too long to be kept. Nothing is read from the caller
 * before somebody reads from this stream. It fails with a `BodyFailure` if the
 * body is too long or the caller too slow.
 */
export class CallerBodyStream extends Readable {
  readonly #source: Readable;
  readonly #prefix: Buffer[];
  readonly #limit: number;
  readonly #pauseMs: number;
  readonly #clock: Clock;
  readonly #onStart: () => void;
  readonly #end = new AbortController();
  #bytes = 0;
  #started = false;
  /** Since when this stream waits for the caller. */
  #waitingSince: number | undefined;

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
    onStart: () => void;
  }) {
    super();
    this.#source = opts.source;
    this.#prefix = opts.prefix;
    this.#limit = opts.limit;
    this.#pauseMs = opts.pauseMs;
    this.#clock = opts.clock;
    this.#onStart = opts.onStart;
    // The reader may be gone when the caller goes.
    this.on("error", () => undefined);
  }

  /** {@inheritDoc} */
  override _read(): void {
    if (!this.#started) {
      this.#started = true;
      this.#start();
    }
    this.#waitingSince ??= this.#clock.now();
    this.#source.resume();
  }

  /** {@inheritDoc} */
  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    this.#end.abort();
    this.#source.off("data", this.#onData);
    // Without an error the caller has been answered, and Node reads and drops
    // the rest of the body.
    if (err !== null) this.#source.pause();
    callback(err);
  }

  #start(): void {
    this.#onStart();
    for (const part of this.#prefix) {
      this.#bytes += part.length;
      this.push(part);
    }
    this.#source.on("data", this.#onData);
    this.#source.once("end", () => this.push(null));
    this.#source.once("error", (err) => this.destroy(err));
    this.#source.once("close", () => {
      if (!this.#source.readableEnded) {
        this.destroy(new Error("the caller went away"));
      }
    });
    void this.#watch();
  }

  readonly #onData = (part: Buffer): void => {
    this.#waitingSince = undefined;
    this.#bytes += part.length;
    if (this.#bytes > this.#limit) {
      this.destroy(
        new BodyFailure(
          "body_too_large",
          `the body is longer than ${this.#limit} bytes`,
        ),
      );
    } else if (this.push(part)) this.#waitingSince = this.#clock.now();
    else this.#source.pause();
  };

  async #watch(): Promise<void> {
    while (!this.#end.signal.aborted && !this.#source.readableEnded) {
      const since = this.#waitingSince ?? this.#clock.now();
      const left = since + this.#pauseMs - this.#clock.now();
      if (left <= 0) {
        this.destroy(
          new BodyFailure("slow_sender", "the body arrives too slowly"),
        );
        return;
      }
      await this.#clock.sleep(left, this.#end.signal);
    }
  }
}
