import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { UpstreamHealth } from "../contracts/upstream_health.ts";
import type { UpstreamReports } from "../contracts/upstream_reports.ts";
import { ChildAbort } from "./child_abort.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  clock: Clock;
  reports: UpstreamReports;
  /** Least time between the starts of two polls; a poll costs up to 6 ms. */
  minIntervalMs: () => number;
  /** When the next poll is needed; `Infinity` for not at all. */
  neededAt: () => number;
  /**
   * @param health - what the upstream said, or undefined
   * @param askedAt - when the poll was sent
   */
  onResult: (health: UpstreamHealth | undefined, askedAt: number) => void;
};

const PROBE_TIMEOUT_MS = 1000;

/** Polls the health of one upstream, only as often as it is needed. */
export class HealthPoller {
  readonly #options: Options;
  readonly #wake = new ChangeNotifier();
  #nextAllowedAt = -Infinity;
  /** `-Infinity` while a poll is under way. */
  #sleepsUntil = -Infinity;

  /**
   * @param options - upstream, times, and the receiver of results
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /** The time of the next needed poll may have become earlier. */
  reconsider(): void {
    // Called with each answer; a later time is found when the sleep ends.
    if (this.#nextPollAt() < this.#sleepsUntil) this.#wake.notify();
  }

  /**
   * Polls until the term ends.
   *
   * @param signal - end of the term
   */
  async run(signal: AbortSignal): Promise<void> {
    const { address, clock, reports } = this.#options;
    const ended = () => signal.aborted;
    while (!ended()) {
      const at = this.#nextPollAt();
      const step = new ChildAbort(signal);
      if (at > clock.now()) {
        this.#sleepsUntil = at;
        await Promise.race([
          this.#wake.next(step.signal),
          at === Infinity
            ? new Promise<void>(() => undefined)
            : clock.sleep(at - clock.now(), step.signal),
        ]);
        step.abort();
        this.#sleepsUntil = -Infinity;
        continue;
      }
      const askedAt = clock.now();
      this.#nextAllowedAt = askedAt + this.#options.minIntervalMs();
      const result = await Promise.race([
        reports.health(address, step.signal),
        clock.sleep(PROBE_TIMEOUT_MS, step.signal).then(() => undefined),
      ]);
      step.abort();
      if (ended()) return;
      const health = result?.isOk() === true ? result.value : undefined;
      this.#options.onResult(health, askedAt);
    }
  }

  #nextPollAt(): number {
    return Math.max(this.#options.neededAt(), this.#nextAllowedAt);
  }
}
