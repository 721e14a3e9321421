import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Service } from "../catalogue/service.ts";
import type { UpstreamHealth } from "../contracts/upstream_health.ts";
import type { UpstreamReports } from "../contracts/upstream_reports.ts";
import { HOP_HEADER } from "../links/hop_header.ts";
import type { RenewReport } from "../regions/renew_report.ts";
import { HealthPoller } from "./health_poller.ts";
import { openSocket } from "./open_socket.ts";
import { ServiceTimeEstimate } from "./service_time_estimate.ts";
import { UpstreamFailureDetector } from "./upstream_failure_detector.ts";
import { WarmUp } from "./warm_up.ts";

type State = RenewReport["upstreams"][number]["state"];

type Options = {
  service: string;
  upstream: string;
  /** `ip:port` of the upstream. */
  address: string;
  clock: Clock;
  logger: Logger;
  reports: UpstreamReports;
  cfg: () => Service;
  healthPollMs: number;
  /** Returns whether this router is currently the upstream's dispatcher. */
  active: () => boolean;
  /** Returns when the oldest request without an answer byte was sent. */
  unansweredSince: () => number | undefined;
  /** Called when the upstream answered a request or a health check. */
  onAnswer: () => void;
  /** Called when the reported state has changed. */
  onChange: () => void;
  /** Called when the upstream may have restarted. */
  onRestart: () => void;
  /** Schedules a call of `onDue`. */
  onDueAt: (at: number) => void;
  /** Closes sockets when it aborts. */
  signal: AbortSignal;
};
type AnswerHead = {
  headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** Shortest time without an answer before the upstream's health is checked. */
const MIN_SUSPICION_DELAY_MS = 300;
/** A longer delay would leave no time for recovery within 5 s. */
const MAX_SUSPICION_DELAY_MS = 1000;
const SUSPICION_DELAY_P99_FACTOR = 2;
const MIN_SILENCE_TIMEOUT_MS = 1000;
const SILENCE_TIMEOUT_P99_FACTOR = 4;
/**
 * If responses do not carry the upstream's state, only the health check reveals
 * draining, which must take effect within 3 s, and unannounced restarts.
 */
const WARM_POLL_INTERVAL_MS = 1000;

/**
 * Tracks the service time of one upstream and whether it is cold, warm,
 * draining or lost.
 */
export class UpstreamCondition {
  readonly warmUp: WarmUp;
  readonly estimate: ServiceTimeEstimate;
  readonly #options: Options;
  readonly #clock: Clock;
  readonly #failureDetector: UpstreamFailureDetector;
  readonly #poller: HealthPoller;
  #drainingSince: number | undefined;
  /** When the request was sent whose answer contained the current state. */
  #stateRequestedAt = -Infinity;
  #stateReceivedAt = -Infinity;
  #checkingConnect = false;
  #reportedState: State = "cold";

  /**
   * @param options - the upstream and the callbacks
   */
  constructor(options: Options) {
    this.#options = options;
    const { address, clock, reports } = options;
    this.#clock = clock;
    this.warmUp = new WarmUp(clock, options.cfg());
    this.estimate = new ServiceTimeEstimate(clock);
    this.#failureDetector = new UpstreamFailureDetector(clock);
    this.#poller = new HealthPoller({
      address,
      clock,
      reports,
      minIntervalMs: () => options.healthPollMs,
      nextNeededAt: () => this.#pollNeededAt(),
      onResult: (health, requestedAt) => this.#onHealth(health, requestedAt),
    });
  }

  /**
   * @returns whether the upstream is lost
   */
  get lost(): boolean {
    return this.#failureDetector.lost;
  }

  /**
   * @returns whether the cold-start limits apply
   */
  get cold(): boolean {
    return this.warmUp.isCold(this.estimate.median());
  }

  /**
   * @returns when the upstream first reported that it is draining, or undefined
   */
  get drainingSince(): number | undefined {
    return this.#drainingSince;
  }

  /**
   * @returns the state for the report to the coordinator
   */
  get state(): State {
    if (this.lost) return "lost";
    if (this.#drainingSince !== undefined) return "draining";
    return this.cold ? "cold" : "warm";
  }

  /**
   * @returns milliseconds that a request may wait for the first answer byte
   * while the upstream answers on other connections
   */
  get silenceTimeoutMs(): number {
    return Math.max(
      MIN_SILENCE_TIMEOUT_MS,
      SILENCE_TIMEOUT_P99_FACTOR * this.estimate.p99(),
    );
  }

  /**
   * @param sentAt - when a request was sent
   * @returns whether the upstream answered on another connection at least
   * 300 ms after that
   */
  answeredOthersSince(sentAt: number): boolean {
    return this.#failureDetector.lastAnswerAt >=
      sentAt + MIN_SUSPICION_DELAY_MS;
  }

  /**
   * Polls the upstream's health when needed.
   *
   * @param signal - aborts when the dispatch term ends
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.#poller.run(signal);
  }

  /** Brings the next health poll forward if it is needed earlier. */
  reschedulePoll(): void {
    this.#poller.reschedule();
  }

  /**
   * Records that a request was sent, and schedules a check on whether the
   * upstream has answered.
   */
  onSent(): void {
    this.#options.onDueAt(this.#clock.now() + MIN_SUSPICION_DELAY_MS);
  }

  /**
   * Records an answer's service time and the state that it reports.
   *
   * @param head - head of the answer
   * @param sentAt - when its request was sent
   */
  onAnswer(head: AnswerHead, sentAt: number): void {
    this.#failureDetector.onAnswer();
    const notRun = head.headers[HOP_HEADER.notRun];
    const boot = head.headers[HOP_HEADER.boot];
    if (notRun === "shed") this.warmUp.becameCold();
    // A refusal is not a sample of the service time.
    if (notRun === undefined) this.estimate.add(this.#clock.now() - sentAt);
    this.#options.onAnswer();
    this.#onStateReport({
      state: stateOf(head.headers[HOP_HEADER.state]) ??
        (notRun === "draining" ? "draining" : undefined),
      boot: typeof boot === "string" ? boot : undefined,
      requestedAt: sentAt,
    });
  }

  /** Records that a connection was established. */
  onConnected(): void {
    this.#failureDetector.onConnected();
  }

  /** Records that a connection attempt was refused or timed out. */
  onConnectFailed(): void {
    this.#failureDetector.onConnectFailed();
    const retryAt = this.#failureDetector.retryConnectAt;
    if (retryAt !== undefined) this.#options.onDueAt(retryAt);
    this.#updateState();
  }

  /**
   * Records that the upstream closed the last connection.
   *
   * @param reset - whether it was reset rather than closed in an orderly way
   */
  onAllClosed(reset: boolean): void {
    if (reset) {
      this.warmUp.becameCold();
      this.#options.onRestart();
    }
    // Forces a health poll, which shows whether the upstream has restarted.
    this.#stateReceivedAt = -Infinity;
    this.#updateState();
  }

  /**
   * Updates the state, and tries a connection if one is due.
   *
   * @returns when to call again, or `Infinity`
   */
  onDue(): number {
    this.#poller.reschedule();
    this.#updateState();
    const retryAt = this.#failureDetector.retryConnectAt;
    if (retryAt === undefined) return Infinity;
    if (retryAt > this.#clock.now()) return retryAt;
    void this.#checkConnect();
    return Infinity;
  }

  #onStateReport(report: Parameters<WarmUp["onStateReport"]>[0]): void {
    const wasCold = this.cold;
    this.warmUp.onStateReport(report);
    if (this.cold && !wasCold) this.#options.onRestart();
    if (
      report.state !== undefined && report.requestedAt >= this.#stateRequestedAt
    ) {
      this.#stateRequestedAt = report.requestedAt;
      this.#stateReceivedAt = this.#clock.now();
      if (report.state !== "draining") this.#drainingSince = undefined;
      else this.#drainingSince ??= this.#clock.now();
    }
    this.#updateState();
  }

  #onHealth(health: UpstreamHealth | undefined, requestedAt: number): void {
    if (health !== undefined) {
      this.#failureDetector.onAnswer();
      this.#options.onAnswer();
      this.#onStateReport({
        state: health.state,
        boot: health.boot,
        requestedAt,
      });
      return;
    }
    const unansweredSince = this.#options.unansweredSince();
    this.#failureDetector.onHealthCheckFailed(requestedAt, unansweredSince);
    // The health endpoint alone may have failed, so a connection decides.
    if (unansweredSince === undefined) void this.#checkConnect();
    this.#updateState();
  }

  /** Opens and closes a connection to check that the upstream accepts any. */
  async #checkConnect(): Promise<void> {
    const { active, address, signal } = this.#options;
    if (this.#checkingConnect || !active()) return;
    this.#checkingConnect = true;
    const err = await new Promise<Error | undefined>((resolve) => {
      const socket = openSocket(address, this.#clock, (failure) => {
        socket.destroy();
        resolve(failure);
      });
      const close = () => {
        socket.destroy();
        resolve(undefined);
      };
      signal.addEventListener("abort", close, { once: true });
      socket.once("close", () => signal.removeEventListener("abort", close));
    });
    this.#checkingConnect = false;
    if (signal.aborted) return;
    if (err === undefined) this.#failureDetector.onConnected();
    else this.onConnectFailed();
  }

  #updateState(): void {
    this.#poller.reschedule();
    const { logger, service, upstream } = this.#options;
    const from = this.#reportedState;
    const to = this.state;
    if (from === to) return;
    this.#reportedState = to;
    logger.info(
      { service, upstream, from, to },
      "upstream state changed",
    );
    if (to === "lost") this.warmUp.becameCold();
    this.#options.onChange();
  }

  #pollNeededAt(): number {
    if (!this.#options.active()) return Infinity;
    const frequent = this.lost || this.cold;
    const regular = this.#stateReceivedAt +
      (frequent ? this.#options.healthPollMs : WARM_POLL_INTERVAL_MS);
    const since = this.#options.unansweredSince();
    if (since === undefined) return regular;
    const suspicionDelayMs = Math.min(
      MAX_SUSPICION_DELAY_MS,
      Math.max(
        MIN_SUSPICION_DELAY_MS,
        SUSPICION_DELAY_P99_FACTOR * this.estimate.p99(),
      ),
    );
    const silentSince = Math.max(since, this.#failureDetector.lastAnswerAt);
    return Math.min(regular, silentSince + suspicionDelayMs);
  }
}

function stateOf(value: unknown): "cold" | "warm" | "draining" | undefined {
  return value === "cold" || value === "warm" || value === "draining"
    ? value
    : undefined;
}
