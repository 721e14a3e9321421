import { AttemptAbandoned } from "./attempt_abandoned.ts";
import type { DispatchJob } from "./dispatch_job.ts";

/** Requests that one term has sent, or is sending, to its upstream. */
export class InFlightJobs {
  readonly #jobs = new Set<DispatchJob>();
  #before: InFlightJobs | undefined;

  /**
   * @param before - those of an earlier term that may still run
   */
  constructor(before: InFlightJobs | undefined) {
    this.#before = before;
  }

  /**
   * @returns requests of this term
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
   * @returns requests at the upstream, with those of earlier terms
   */
  atUpstream(): DispatchJob[] {
    const before = this.#before?.atUpstream() ?? [];
    if (before.length === 0) this.#before = undefined;
    return [...before, ...this.#jobs];
  }

  /**
   * @returns when the oldest request without an answer byte was sent
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
   * @returns how long even the youngest request has been without an answer; 0
   * if one has an answer or is not sent yet
   */
  stuckMs(now: number): number {
    let stuck = Infinity;
    for (const { progress } of this.#jobs) {
      stuck = Math.min(stuck, progress.kind === "sent" ? now - progress.at : 0);
    }
    return stuck;
  }

  /**
   * Gives up every request of this term.
   *
   * @param reason - why
   */
  abandonAll(reason: AttemptAbandoned["reason"]): void {
    for (const job of this.#jobs) {
      job.exchange?.abandon(new AttemptAbandoned(reason));
    }
  }

  /**
   * Gives up requests that have waited too long for an answer.
   *
   * @param silenceMs - longest wait
   * @param opts - `isSilent` whether the upstream answered others meanwhile;
   * `onGivenUp` is told how long a request has waited
   * @param now - monotonic milliseconds
   */
  abandonSilent(
    silenceMs: number,
    opts: {
      isSilent: (sentAt: number) => boolean;
      onGivenUp: (waitedMs: number) => void;
    },
    now: number,
  ): void {
    for (const job of this.#jobs) {
      const { progress } = job;
      if (progress.kind !== "sent" || now - progress.at < silenceMs) continue;
      if (!opts.isSilent(progress.at)) continue;
      opts.onGivenUp(now - progress.at);
      job.exchange?.abandon(new AttemptAbandoned("silent"));
    }
  }

  /**
   * Gives up requests whose time is over.
   *
   * @param onOverrun - is told how long a request ran beyond its time
   * @param now - monotonic milliseconds
   */
  abandonOverdue(onOverrun: (ranMs: number) => void, now: number): void {
    for (const job of this.#jobs) {
      const { progress } = job;
      if (job.req.deadlineAt <= now) {
        job.exchange?.abandon(new AttemptAbandoned("deadline"));
      } else if (progress.kind === "sent" && progress.runEndsAt <= now) {
        onOverrun(now - progress.at);
        job.exchange?.abandon(new AttemptAbandoned("run_limit"));
      }
    }
  }

  /**
   * @param silenceMs - longest wait for an answer
   * @returns times at which a request may have to be given up
   */
  dueTimes(silenceMs: number): number[] {
    const times: number[] = [];
    for (const { progress, req } of this.#jobs) {
      times.push(req.deadlineAt);
      if (progress.kind !== "sent") continue;
      times.push(progress.runEndsAt, progress.at + silenceMs);
    }
    return times;
  }
}
