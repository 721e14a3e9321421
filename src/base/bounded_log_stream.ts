import { write } from "node:fs";
import type { Clock } from "./clock.ts";

type Options = {
  clock: Clock;
  /** File descriptor that is written to. */
  fd: number;
  /** Lines that may be written a second; more are left out. */
  maxLinesPerS: number;
  /** @param count - lines that were left out since the last call */
  onDropped: (count: number) => void;
  /** Replaces `write` of `node:fs`. */
  write?: Write;
};
type Write = (
  fd: number,
  text: Buffer,
  from: number,
  length: number,
  at: null,
  done: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Lines that a slow reader has not taken yet. */
const MAX_PENDING_BYTES = 512 * 1024;
const MS_PER_S = 1000;
/** A reader whose pipe is full is tried again after this time. */
const FULL_MS = 10;
/** Lines of warnings and errors are left out only when the reader is slow. */
const URGENT_LEVELS = /"level":[456]0/;

/**
 * A log stream that never blocks and writes a bounded number of lines: it
 * leaves lines out and says how many.
 */
export class BoundedLogStream {
  readonly #opts: Options;
  #pending: string[] = [];
  #pendingBytes = 0;
  #writing = false;
  #second = 0;
  #lines = 0;
  #dropped = 0;

  /**
   * @param opts - where to write, and the bounds
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * @param line - a log line with its line feed; bunyan's types allow any
   * object
   */
  write(line: string | object): void {
    if (typeof line !== "string") return;
    const { clock, maxLinesPerS } = this.#opts;
    const second = Math.floor(clock.now() / MS_PER_S);
    if (second !== this.#second) {
      this.#second = second;
      this.#lines = 0;
      this.#tellDropped();
    }
    this.#lines++;
    const tooMany = this.#lines > maxLinesPerS && !URGENT_LEVELS.test(line);
    if (tooMany || this.#pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.#dropped++;
      return;
    }
    this.#push(line);
  }

  /**
   * @returns a promise that resolves when everything has been written
   */
  async flushed(): Promise<void> {
    while (this.#writing) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #tellDropped(): void {
    if (this.#dropped === 0) return;
    const dropped = this.#dropped;
    this.#dropped = 0;
    this.#opts.onDropped(dropped);
    const time = this.#opts.clock.wallTime().toISOString();
    this.#push(
      `${
        JSON.stringify({ level: 40, time, dropped, msg: "lines left out" })
      }\n`,
    );
  }

  #push(line: string): void {
    this.#pending.push(line);
    this.#pendingBytes += line.length;
    // Lines of one turn of the event loop leave with one call.
    if (!this.#writing) {
      this.#writing = true;
      setImmediate(() => this.#flush());
    }
  }

  #flush(): void {
    const text = Buffer.from(this.#pending.join(""));
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#writeAll(text, 0);
  }

  #writeAll(text: Buffer, from: number): void {
    const writeTo = this.#opts.write ?? write;
    writeTo(
      this.#opts.fd,
      text,
      from,
      text.length - from,
      null,
      (err, done) => {
        if (err?.code === "EAGAIN") {
          setTimeout(() => this.#writeAll(text, from), FULL_MS);
          return;
        }
        // Nobody can be told of a log that cannot be written; what is lost is
        // counted in the line after the next second.
        if (err !== null) this.#dropped++;
        else if (from + done < text.length) {
          this.#writeAll(text, from + done);
          return;
        }
        if (this.#pending.length > 0) setImmediate(() => this.#flush());
        else this.#writing = false;
      },
    );
  }
}
