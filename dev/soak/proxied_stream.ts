import type { Socket } from "node:net";
import type { Clock } from "../../src/base/clock.ts";

/** `open` connects to the target. */
type Content = Buffer | "open" | "end" | "reset";
type Segment = {
  content: Content;
  sentAt: number;
  /** Monotonic milliseconds; infinite while the link is silent. */
  dueAt: number;
  /** Whether the link was silent when the segment was to be delivered. */
  lost: boolean;
};

/** Linux: the interval doubles with each retransmission. */
const FIRST_RETRANSMISSION_MS = 200;
const FIRST_SYN_RETRANSMISSION_MS = 1000;

/**
 * One direction of a proxied connection. Delivers in order, and treats what was
 * lost on a silent link as a kernel does: the bytes and the end of a sender that
 * has closed or was killed are delivered later, the bytes of one that has reset
 * the connection are discarded.
 */
export class ProxiedStream {
  readonly #to: Socket;
  readonly #targetPort: number;
  readonly #clock: Clock;
  /** Not delivered yet, in order of arrival. */
  #segments: Segment[] = [];
  #timer = new AbortController();

  /**
   * @param to - receives what is sent; discards the rest when it closes
   * @param targetPort - loopback port that `open` connects to
   * @param clock - clock of the delays
   */
  constructor(to: Socket, targetPort: number, clock: Clock) {
    this.#to = to;
    this.#targetPort = targetPort;
    this.#clock = clock;
    to.once("close", () => {
      this.#segments = [];
      this.#timer.abort();
    });
  }

  /**
   * @returns whether the connection is not established yet
   */
  get opening(): boolean {
    return this.#segments[0]?.content === "open";
  }

  /**
   * @param content - bytes, the opening of the connection, or how the sender
   * has left
   * @param delayMs - delay of the link; infinite if it is silent
   */
  send(content: Content, delayMs: number): void {
    const now = this.#clock.now();
    if (this.opening && (content === "end" || content === "reset")) {
      this.#to.destroy();
      return;
    }
    // A sender that has reset the connection retransmits nothing.
    if (content === "reset") {
      this.#segments = this.#segments.filter(({ lost }) => !lost);
    }
    this.#segments.push({
      content,
      sentAt: now,
      dueAt: now + delayMs,
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

  /** Delivers what was lost with the next retransmission. */
  recover(): void {
    const lost = this.#segments.filter(({ dueAt }) => dueAt === Infinity);
    const [first] = lost;
    if (first === undefined) return;
    let intervalMs = first.content === "open"
      ? FIRST_SYN_RETRANSMISSION_MS
      : FIRST_RETRANSMISSION_MS;
    let at = first.sentAt + intervalMs;
    while (at < this.#clock.now()) {
      intervalMs *= 2;
      at += intervalMs;
    }
    for (const segment of lost) segment.dueAt = at;
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
    if (content === "open") this.#to.connect(this.#targetPort, "127.0.0.1");
    else if (content === "end") this.#to.end();
    else if (content === "reset") this.#to.resetAndDestroy();
    else this.#to.write(content);
  }
}
