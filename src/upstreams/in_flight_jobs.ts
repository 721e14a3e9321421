import { AttemptAbandoned } from "./attempt_abandoned.ts";
import type { DispatchJob } from "./dispatch_job.ts";

/** Tracks the requests in flight of one dispatch term. */
export class InFlightJobs {
  readonly #jobs = new Set<DispatchJob>();
  #predecessor: InFlightJobs | undefined;

  /**
   * @param predecessor - requests of the previous term that may still run
   */
  constructor(predecessor: InFlightJobs | undefined) {
    this.#predecessor = predecessor;
  }

  /**
   * @returns number of requests in flight of this term
   */
  get size(): number {
    return this.#jobs.size;
  }

  /** @param job - a request that is being sent */
  add(job: DispatchJob): void {
    this.#jobs.add(job);
  }

  /** @param job - a request that has ended */
  delete(job: DispatchJob): void {
    this.#jobs.delete(job);
  }

  /**
   * @returns requests in flight of this term and of earlier terms
   */
  withEarlierTerms(): DispatchJob[] {
    const before = this.#predecessor?.withEarlierTerms() ?? [];
    if (before.length === 0) this.#predecessor = undefined;
    return [...before, ...this.#jobs];
  }

  /**
   * @returns when the oldest request without an answer byte was sent, or
   * undefined if there is none
   */
  unansweredSince(): number | undefined {
    let oldest: number | undefined;
    for (const { progress } of this.#jobs) {
      if (progress.kind !== "sent") continue;
      oldest = Math.min(oldest ?? Infinity, progress.at);
    }
    return oldest;
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds that the most recently sent request has been without
   * an answer; 0 if any request has an answer or is not sent yet
   */
  youngestUnansweredMs(now: number): number {
    let youngestMs = Infinity;
    for (const { progress } of this.#jobs) {
      youngestMs = Math.min(
        youngestMs,
        progress.kind === "sent" ? now - progress.at : 0,
      );
    }
    return youngestMs;
  }

  /**
   * Aborts every request of this term.
   *
   * @param reason - why the requests are aborted
   */
  abandonAll(reason: AttemptAbandoned["reason"]): void {
    for (const job of this.#jobs) {
      job.exchange?.abort(new AttemptAbandoned(reason));
    }
  }

  /**
   * Aborts requests that have waited too long for an answer.
   *
   * @param timeoutMs - longest wait for the first answer byte
   * @param opts - `isSilent` returns whether the upstream answered other
   * requests since the given time; `onAbandoned` receives the milliseconds that
   * an aborted request has waited
   * @param now - monotonic milliseconds
   */
  abandonSilent(
    timeoutMs: number,
    opts: {
      answeredOthersSince: (sentAt: number) => boolean;
      onAbandoned: (waitedMs: number) => void;
    },
    now: number,
  ): void {
    for (const job of this.#jobs) {
      const { progress } = job;
      if (progress.kind !== "sent" || now - progress.at < timeoutMs) continue;
      if (!opts.answeredOthersSince(progress.at)) continue;
      opts.onAbandoned(now - progress.at);
      job.exchange?.abort(new AttemptAbandoned("silent"));
    }
  }

  /**
   * Aborts requests whose deadline or longest run time has passed.
   *
   * @param onOverrun - receives the milliseconds since a request was sent that
   * exceeded its longest run time
   * @param now - monotonic milliseconds
   */
  abandonOverdue(onOverrun: (ranMs: number) => void, now: number): void {
    for (const job of this.#jobs) {
      const { progress } = job;
      if (job.req.deadlineAt <= now) {
        job.exchange?.abort(new AttemptAbandoned("deadline"));
      } else if (progress.kind === "sent" && progress.runEndsAt <= now) {
        onOverrun(now - progress.at);
        job.exchange?.abort(new AttemptAbandoned("run_limit"));
      }
    }
  }

  /**
   * @param timeoutMs - longest wait for the first answer byte
   * @returns times at which a request may have to be aborted
   */
  dueTimes(timeoutMs: number): number[] {
    const times: number[] = [];
    for (const { progress, req } of this.#jobs) {
      times.push(req.deadlineAt);
      if (progress.kind !== "sent") continue;
      times.push(progress.runEndsAt, progress.at + timeoutMs);
    }
    return times;
  }
}
