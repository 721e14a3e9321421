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
  /** Whether this router is the dispatcher at present. */
  active: () => boolean;
  /** When the oldest request without an answer byte was sent. */
  unansweredSince: () => number | undefined;
  /** The upstream answered a request or a probe. */
  onAnswer: () => void;
  /** The reported state has changed. */
  onChange: () => void;
  /** The upstream may have restarted. */
  onRestart: () => void;
  /** Time at which `due` is to be called. */
  onDueAt: (at: number) => void;
  /** Closes sockets. */
  signal: AbortSignal;
};
type AnswerHead = {
  headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** Shortest silence after which the upstream itself is in doubt. */
const MIN_DOUBT_MS = 300;
/** A longer one would leave no time for recovery within 5 s. */
const MAX_DOUBT_MS = 1000;
const DOUBT_PER_P99 = 2;
const MIN_SILENCE_MS = 1000;
const SILENCE_PER_P99 = 4;
/**
 * Without responses that carry a state, draining and unannounced restarts show
 * only in the health; draining must take effect within 3 s.
 */
const WARM_POLL_MS = 1000;

/**
 * What a dispatcher knows of its upstream: speed, warmth, and whether it is
 * lost.
 */
export class UpstreamCondition {
  readonly warmUp: WarmUp;
  readonly estimate: ServiceTimeEstimate;
  readonly #options: Options;
  readonly #clock: Clock;
  readonly #failureDetector: UpstreamFailureDetector;
  readonly #poller: HealthPoller;
  #drainingSince: number | undefined;
  /** When the request was sent whose answer last told the state. */
  #stateAskedAt = -Infinity;
  #stateHeardAt = -Infinity;
  #checkingConnect = false;
  #reported: State = "cold";

  /**
   * @param options - the upstream, and whom to tell
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
      neededAt: () => this.#pollNeededAt(),
      onResult: (health, askedAt) => this.#onHealth(health, askedAt),
    });
  }

  /**
   * @returns whether the upstream is lost
   */
  get lost(): boolean {
    return this.#failureDetector.lost;
  }

  /**
   * @returns whether the limits of a cold start are in force
   */
  get cold(): boolean {
    return this.warmUp.isCold(this.estimate.median());
  }

  /**
   * @returns since when the upstream says that it drains, if it does
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
   * @returns how long a request may stay without an answer byte while other
   * connections answer, in milliseconds
   */
  get silenceMs(): number {
    return Math.max(MIN_SILENCE_MS, SILENCE_PER_P99 * this.estimate.p99());
  }

  /**
   * @param sentAt - when a request was sent
   * @returns whether another connection answered well after that
   */
  answeredOthersSince(sentAt: number): boolean {
    return this.#failureDetector.lastAnswerAt >= sentAt + MIN_DOUBT_MS;
  }

  /**
   * Polls the health as far as it is needed.
   *
   * @param signal - end of the term
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.#poller.run(signal);
  }

  /** The time of the next needed poll may have become earlier. */
  reconsider(): void {
    this.#poller.reconsider();
  }

  /**
   * A request was sent; an upstream that leaves it unanswered is probed.
   */
  sent(): void {
    this.#options.onDueAt(this.#clock.now() + MIN_DOUBT_MS);
  }

  /**
   * Takes in the head of an answer.
   *
   * @param head - head of the answer
   * @param sentAt - when its request was sent
   */
  onAnswer(head: AnswerHead, sentAt: number): void {
    this.#failureDetector.answered();
    const notRun = head.headers[HOP_HEADER.notRun];
    const boot = head.headers[HOP_HEADER.boot];
    if (notRun === "shed") this.warmUp.becameCold();
    // A refusal takes no service time.
    if (notRun === undefined) this.estimate.add(this.#clock.now() - sentAt);
    this.#options.onAnswer();
    this.#heard({
      state: stateOf(head.headers[HOP_HEADER.state]) ??
        (notRun === "draining" ? "draining" : undefined),
      boot: typeof boot === "string" ? boot : undefined,
      askedAt: sentAt,
    });
  }

  /** A connection was established. */
  onConnected(): void {
    this.#failureDetector.connected();
  }

  /** A connection was refused or timed out. */
  onConnectFailed(): void {
    this.#failureDetector.connectFailed();
    const retryAt = this.#failureDetector.retryConnectAt;
    if (retryAt !== undefined) this.#options.onDueAt(retryAt);
    this.#mayHaveChanged();
  }

  /**
   * The last connection was closed by the upstream.
   *
   * @param reset - not an orderly close of idle connections
   */
  onAllClosed(reset: boolean): void {
    if (reset) {
      this.warmUp.becameCold();
      this.#options.onRestart();
    }
    // The health tells whether the upstream has restarted.
    this.#stateHeardAt = -Infinity;
    this.#mayHaveChanged();
  }

  /**
   * Tries a connection if one is due.
   *
   * @returns when to call again, or `Infinity`
   */
  due(): number {
    this.#poller.reconsider();
    this.#mayHaveChanged();
    const retryAt = this.#failureDetector.retryConnectAt;
    if (retryAt === undefined) return Infinity;
    if (retryAt > this.#clock.now()) return retryAt;
    void this.#checkConnect();
    return Infinity;
  }

  #heard(report: Parameters<WarmUp["heard"]>[0]): void {
    const wasCold = this.cold;
    this.warmUp.heard(report);
    if (this.cold && !wasCold) this.#options.onRestart();
    if (report.state !== undefined && report.askedAt >= this.#stateAskedAt) {
      this.#stateAskedAt = report.askedAt;
      this.#stateHeardAt = this.#clock.now();
      if (report.state !== "draining") this.#drainingSince = undefined;
      else this.#drainingSince ??= this.#clock.now();
    }
    this.#mayHaveChanged();
  }

  #onHealth(health: UpstreamHealth | undefined, askedAt: number): void {
    if (health !== undefined) {
      this.#failureDetector.answered();
      this.#options.onAnswer();
      this.#heard({ state: health.state, boot: health.boot, askedAt });
      return;
    }
    const unansweredSince = this.#options.unansweredSince();
    this.#failureDetector.probeFailed(askedAt, unansweredSince);
    // The health may be unreadable for reasons of its own.
    if (unansweredSince === undefined) void this.#checkConnect();
    this.#mayHaveChanged();
  }

  /** Decides by a bare connection whether the upstream accepts any. */
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
    if (err === undefined) this.#failureDetector.connected();
    else this.onConnectFailed();
  }

  #mayHaveChanged(): void {
    this.#poller.reconsider();
    const { logger, service, upstream } = this.#options;
    const from = this.#reported;
    const to = this.state;
    if (from === to) return;
    this.#reported = to;
    logger.info(
      { service, upstream, from, to },
      "the state of the upstream changed",
    );
    if (to === "lost") this.warmUp.becameCold();
    this.#options.onChange();
  }

  #pollNeededAt(): number {
    if (!this.#options.active()) return Infinity;
    const often = this.lost || this.cold;
    const regular = this.#stateHeardAt +
      (often ? this.#options.healthPollMs : WARM_POLL_MS);
    const since = this.#options.unansweredSince();
    if (since === undefined) return regular;
    const doubtMs = Math.min(
      MAX_DOUBT_MS,
      Math.max(MIN_DOUBT_MS, DOUBT_PER_P99 * this.estimate.p99()),
    );
    const silentSince = Math.max(since, this.#failureDetector.lastAnswerAt);
    return Math.min(regular, silentSince + doubtMs);
  }
}

function stateOf(value: unknown): "cold" | "warm" | "draining" | undefined {
  return value === "cold" || value === "warm" || value === "draining"
    ? value
    : undefined;
}
