import type { Metrics } from "../base/metrics.ts";
import { HoldQueue } from "./hold_queue.ts";

/** A hold queue that counts waits and refused waits in metrics. */
export class MeasuredHoldQueue extends HoldQueue {
  readonly #metrics: Metrics;
  readonly #region: string;

  /**
   * @param opts - options of the queue, metrics, and the region of this process
   */
  constructor(
    opts: ConstructorParameters<typeof HoldQueue>[0] & {
      metrics: Metrics;
      region: string;
    },
  ) {
    super(opts);
    this.#metrics = opts.metrics;
    this.#region = opts.region;
  }

  /** {@inheritDoc HoldQueue.wait} */
  override async wait(
    opts: Parameters<HoldQueue["wait"]>[0],
  ): Promise<boolean> {
    const waited = await super.wait(opts);
    this.#metrics.increment(waited ? "hold.waits" : "hold.refused", 1, {
      service: opts.service,
      region: this.#region,
    });
    return waited;
  }
}
