import { write } from "node:fs";
import type { Clock } from "./clock.ts";

type Options = {
  clock: Clock;
  /** File descriptor to write to. */
  fd: number;
  /**
   * Limit in lines per second; lines beyond it are dropped, except warnings and
   * errors.
   */
  maxLinesPerS: number;
  /** @param count - lines dropped since the last call */
  onDropped: (count: number) => void;
  /** Replaces `write` of `node:fs` in tests. */
  write?: Write;
};
type Write = (
  fd: number,
  text: Buffer,
  offset: number,
  length: number,
  position: null,
  callback: (err: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/**
 * Limit of the lines that wait to be written while the reader is slow, in
 * UTF-16 code units; lines beyond it are dropped.
 */
const MAX_PENDING_CHARS = 512 * 1024;
const MS_PER_S = 1000;
/** Delay before a write is retried when the reader's pipe is full. */
const FULL_PIPE_RETRY_DELAY_MS = 10;
/**
 * Warnings and errors, which are exempt from the rate limit and dropped only
 * when a slow reader lets the queue fill up.
 */
const RATE_EXEMPT_LEVELS = /"level":[456]0/;

/**
 * Log stream that never blocks and limits the number of lines per second. After
 * lines were dropped, it logs their number before the first line of a later
 * second and passes it to `onDropped`.
 */
export class BoundedLogStream {
  readonly #opts: Options;
  #pending: string[] = [];
  #pendingChars = 0;
  #writing = false;
  #currentSecond = 0;
  #linesInSecond = 0;
  #dropped = 0;

  /**
   * @param opts - where to write, and the rate limit
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * Queues a line, or drops it if a limit is exceeded.
   *
   * @param line - a log line with its line feed; bunyan's types allow any
   * object
   */
  write(line: string | object): void {
    if (typeof line !== "string") return;
    const { clock, maxLinesPerS } = this.#opts;
    const second = Math.floor(clock.now() / MS_PER_S);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
      this.#linesInSecond = 0;
      this.#reportDropped();
    }
    this.#linesInSecond++;
    const tooMany = this.#linesInSecond > maxLinesPerS &&
      !RATE_EXEMPT_LEVELS.test(line);
    if (tooMany || this.#pendingChars + line.length > MAX_PENDING_CHARS) {
      this.#dropped++;
      return;
    }
    this.#push(line);
  }

  /**
   * @returns a promise that resolves when all queued lines are written
   */
  async flushed(): Promise<void> {
    while (this.#writing) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #reportDropped(): void {
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
    this.#pendingChars += line.length;
    // Lines of one turn of the event loop are written with one call.
    if (!this.#writing) {
      this.#writing = true;
      setImmediate(() => this.#flush());
    }
  }

  #flush(): void {
    const text = Buffer.from(this.#pending.join(""));
    this.#pending = [];
    this.#pendingChars = 0;
    this.#writeAll(text, 0);
  }

  #writeAll(text: Buffer, offset: number): void {
    const writeTo = this.#opts.write ?? write;
    writeTo(
      this.#opts.fd,
      text,
      offset,
      text.length - offset,
      null,
      (err, written) => {
        if (err?.code === "EAGAIN") {
          setTimeout(
            () => this.#writeAll(text, offset),
            FULL_PIPE_RETRY_DELAY_MS,
          );
          return;
        }
        // A failed write to the log cannot be logged. It counts as one dropped
        // line, which is reported with the first line of a later second.
        if (err !== null) this.#dropped++;
        else if (offset + written < text.length) {
          this.#writeAll(text, offset + written);
          return;
        }
        if (this.#pending.length > 0) setImmediate(() => this.#flush());
        else this.#writing = false;
      },
    );
  }
}
