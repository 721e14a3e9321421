import type { Clock } from "../base/clock.ts";
import type { Metrics } from "../base/metrics.ts";
import { RetryBudget } from "./retry_budget.ts";

/** A retry budget that counts granted and refused retries in metrics. */
export class MeasuredRetryBudget extends RetryBudget {
  readonly #metrics: Metrics;
  readonly #region: string;

  /**
   * @param opts - `clock`, `metrics`, and the `region` of this process
   */
  constructor(opts: { clock: Clock; metrics: Metrics; region: string }) {
    super(opts.clock);
    this.#metrics = opts.metrics;
    this.#region = opts.region;
  }

  /** {@inheritDoc RetryBudget.take} */
  override take(service: string): boolean {
    const taken = super.take(service);
    this.#metrics.increment(taken ? "retry.taken" : "retry.refused", 1, {
      service,
      region: this.#region,
    });
    return taken;
  }
}
