import type { Clock } from "../base/clock.ts";
import type { MetricTags } from "../base/metric_tags.ts";
import type { Metrics } from "../base/metrics.ts";
import type { DispatchOutcome } from "../upstreams/dispatch_outcome.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { Router } from "./router.ts";

/** Times a router's responses and counts its refused and abandoned requests. */
export class MeasuredRouter implements Pick<Router, "handle"> {
  readonly #opts: ConstructorParameters<typeof MeasuredRouter>[0];

  /**
   * @param opts - the router, clock, metrics, and the region of this process
   */
  constructor(opts: {
    router: Pick<Router, "handle">;
    clock: Clock;
    metrics: Metrics;
    region: string;
  }) {
    this.#opts = opts;
  }

  /** {@inheritDoc Router.handle} */
  async handle(
    req: CallerRequest,
    abortController: AbortController,
  ): Promise<DispatchOutcome> {
    const { router, clock, metrics, region } = this.#opts;
    const startedAt = clock.now();
    let tags: MetricTags = { region };
    const onMatched = (service: string) => {
      tags = { region, service };
    };
    const outcome = await router.handle({ ...req, onMatched }, abortController);
    if (outcome.kind === "response") {
      metrics.timing("request.answer_ms", clock.now() - startedAt, tags);
      return outcome;
    }
    const { code, outcome: reported } = outcome.refusal;
    // The signal also aborts at the deadline; that request was not abandoned.
    if (abortController.signal.aborted && code !== "deadline_exceeded") {
      metrics.increment("request.abandoned", 1, tags);
      return outcome;
    }
    metrics.increment(`refused.${code}`, 1, tags);
    if (reported === "outcome_unknown") {
      metrics.increment("request.outcome_unknown", 1, tags);
    }
    return outcome;
  }
}
