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
  /** Shortest time between the starts of two polls; a poll costs up to 6 ms. */
  minIntervalMs: () => number;
  /** Returns when the next poll is needed; `Infinity` if none is. */
  nextNeededAt: () => number;
  /**
   * @param health - the upstream's answer, or undefined if the poll failed
   * @param requestedAt - when the poll was sent
   */
  onResult: (health: UpstreamHealth | undefined, requestedAt: number) => void;
};

const HEALTH_CHECK_TIMEOUT_MS = 1000;

/** Polls the health of one upstream, only when a poll is needed. */
export class HealthPoller {
  readonly #options: Options;
  readonly #wake = new ChangeNotifier();
  #nextAllowedAt = -Infinity;
  /** `-Infinity` while a poll is in progress. */
  #sleepsUntil = -Infinity;

  /**
   * @param options - upstream, times, and the callback for results
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /** Wakes the poll loop if the next poll is now needed earlier. */
  reschedule(): void {
    // Runs on each answer, so it wakes the loop only for an earlier time. The
    // loop checks for a later time when its sleep ends.
    if (this.#nextPollAt() < this.#sleepsUntil) this.#wake.notify();
  }

  /**
   * Polls until the dispatch term ends.
   *
   * @param signal - aborts when the dispatch term ends
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
      const requestedAt = clock.now();
      this.#nextAllowedAt = requestedAt + this.#options.minIntervalMs();
      const result = await Promise.race([
        reports.health(address, step.signal),
        clock.sleep(HEALTH_CHECK_TIMEOUT_MS, step.signal).then(() => undefined),
      ]);
      step.abort();
      if (ended()) return;
      const health = result?.isOk() === true ? result.value : undefined;
      this.#options.onResult(health, requestedAt);
    }
  }

  #nextPollAt(): number {
    return Math.max(this.#options.nextNeededAt(), this.#nextAllowedAt);
  }
}
