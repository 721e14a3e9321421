import { AttemptAbandoned } from "./attempt_abandoned.ts";
import { attemptOutcome } from "./attempt_outcome.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { DispatchQueue } from "./dispatch_queue.ts";

/** Queue of requests that have not been sent to their upstream yet. */
export class WaitingJobs {
  readonly #queue = new DispatchQueue<DispatchJob>();

  /**
   * @returns how many requests wait
   */
  get size(): number {
    return this.#queue.size;
  }

  /**
   * @returns deadlines of the waiting requests, in monotonic milliseconds
   */
  deadlines(): number[] {
    return this.#queue.items().map(({ req }) => req.deadlineAt);
  }

  /** @param job - a request to queue until it is taken or refused */
  add(job: DispatchJob): void {
    this.#queue.push(job);
  }

  /**
   * Removes a request without resolving its outcome.
   *
   * @param job - a waiting request
   */
  remove(job: DispatchJob): void {
    this.#queue.removeAll((other) => other === job);
  }

  /**
   * Refuses a waiting request when its caller disconnects.
   *
   * @param job - the request
   */
  watchCaller(job: DispatchJob): void {
    const cancel = () => {
      if (job.progress.kind !== "queued") return;
      this.refuse((other) => other === job, "cancelled");
    };
    job.signal.addEventListener("abort", cancel, { once: true });
    void job.outcome.then(() => {
      job.signal.removeEventListener("abort", cancel);
    });
  }

  /**
   * @param mayStart - whether a request may be sent now
   * @returns the first such request, removed from the queue, or undefined
   */
  takeFirst(mayStart: (job: DispatchJob) => boolean): DispatchJob | undefined {
    return this.#queue.takeFirst(mayStart);
  }

  /**
   * Removes waiting requests and resolves their outcomes as not run.
   *
   * @param matches - selects the requests to refuse
   * @param reason - why they are refused
   */
  refuse(
    matches: (job: DispatchJob) => boolean,
    reason: AttemptAbandoned["reason"],
  ): void {
    const err = new AttemptAbandoned(reason);
    for (const job of this.#queue.removeAll(matches)) {
      job.resolveOutcome(attemptOutcome({ kind: "not_sent", err }, 0));
    }
  }

  /**
   * Updates the units of waiting requests after a change of ownership, and
   * refuses requests for keys that the upstream no longer owns.
   *
   * @param unitOf - returns the unit of a digest, or undefined if the upstream
   * does not own the key
   */
  updateUnits(unitOf: (digest: string) => DispatchJob["unit"]): void {
    for (const job of this.#queue.items()) {
      if (job.req.digest === undefined) continue;
      job.unit = unitOf(job.req.digest);
    }
    this.refuse(
      (job) => job.req.digest !== undefined && job.unit === undefined,
      "not_owner",
    );
  }
}
