import { AttemptAbandoned } from "./attempt_abandoned.ts";
import { attemptOutcome } from "./attempt_outcome.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import { DispatchQueue } from "./dispatch_queue.ts";

/** Requests that wait for their upstream. */
export class WaitingJobs {
  readonly #queue = new DispatchQueue<DispatchJob>();

  /**
   * @returns how many requests wait
   */
  get size(): number {
    return this.#queue.size;
  }

  /**
   * @returns when their deadlines pass
   */
  deadlines(): number[] {
    return this.#queue.items().map(({ req }) => req.deadlineAt);
  }

  /** @param job - a request that waits until it is taken or refused */
  add(job: DispatchJob): void {
    this.#queue.push(job);
  }

  /**
   * Takes a request back that was refused by the caller of `add`.
   *
   * @param job - a waiting request
   */
  remove(job: DispatchJob): void {
    this.#queue.removeAll((other) => other === job);
  }

  /**
   * Refuses a waiting request when its caller goes away.
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
   * @returns the first such request, which waits no longer
   */
  take(mayStart: (job: DispatchJob) => boolean): DispatchJob | undefined {
    return this.#queue.take(mayStart);
  }

  /**
   * @param matches - which requests to refuse
   * @param reason - why; none of them has been sent
   */
  refuse(
    matches: (job: DispatchJob) => boolean,
    reason: AttemptAbandoned["reason"],
  ): void {
    const err = new AttemptAbandoned(reason);
    for (const job of this.#queue.removeAll(matches)) {
      job.settle(attemptOutcome({ kind: "not_sent", err }, 0));
    }
  }

  /**
   * Gives requests for keys the units through which the upstream owns these now,
   * and refuses those whose keys it owns no more.
   *
   * @param unitOf - unit of a digest
   */
  reassign(unitOf: (digest: string) => DispatchJob["unit"]): void {
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
