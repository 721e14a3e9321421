import type { Socket } from "node:net";
import type { Clock } from "../../src/base/clock.ts";

type Content = Buffer | "end" | "reset";
type Segment = {
  content: Content;
  /** Monotonic milliseconds; infinite while the link is silent. */
  dueAt: number;
  /** Whether the link was silent when the segment was to be delivered. */
  lost: boolean;
};

/**
 * One direction of a proxied connection. Delivers in order, and treats what was
 * lost on a silent link as a kernel does: the bytes and the end of a sender that
 * has closed or was killed are delivered later, the bytes of one that has reset
 * the connection are discarded.
 */
export class ProxiedStream {
  readonly #to: Socket;
  readonly #clock: Clock;
  /** Not delivered yet, in order of arrival. */
  #segments: Segment[] = [];
  #timer = new AbortController();

  /**
   * @param to - receives what is sent; discards the rest when it closes
   * @param clock - clock of the delays
   */
  constructor(to: Socket, clock: Clock) {
    this.#to = to;
    this.#clock = clock;
    to.once("close", () => {
      this.#segments = [];
      this.#timer.abort();
    });
  }

  /**
   * @param content - bytes, or how the sender has left
   * @param delayMs - delay of the link; infinite if it is silent
   */
  send(content: Content, delayMs: number): void {
    // A sender that has reset the connection retransmits nothing.
    if (content === "reset") {
      this.#segments = this.#segments.filter(({ lost }) => !lost);
    }
    this.#segments.push({
      content,
      dueAt: this.#clock.now() + delayMs,
      lost: delayMs === Infinity,
    });
    this.#deliverDue();
  }

  /** Loses what is under way, because the link has become silent. */
  lose(): void {
    for (const segment of this.#segments) {
      segment.dueAt = Infinity;
      segment.lost = true;
    }
  }

  /** Delivers what was lost, because the link is no longer silent. */
  recover(): void {
    const now = this.#clock.now();
    for (const segment of this.#segments) {
      if (segment.dueAt === Infinity) segment.dueAt = now;
    }
    this.#deliverDue();
  }

  #deliverDue(): void {
    this.#timer.abort();
    const now = this.#clock.now();
    let [head] = this.#segments;
    while (head !== undefined && head.dueAt <= now) {
      this.#segments.shift();
      this.#deliver(head.content);
      [head] = this.#segments;
    }
    if (head === undefined || head.dueAt === Infinity) return;
    const timer = new AbortController();
    this.#timer = timer;
    void this.#clock.sleep(head.dueAt - now, timer.signal).then(() => {
      if (!timer.signal.aborted) this.#deliverDue();
    });
  }

  #deliver(content: Content): void {
    if (this.#to.destroyed) return;
    if (content === "end") this.#to.end();
    else if (content === "reset") this.#to.resetAndDestroy();
    else this.#to.write(content);
  }
}
