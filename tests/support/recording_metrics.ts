import type { MetricTags } from "../../src/base/metric_tags.ts";
import type { Metrics } from "../../src/base/metrics.ts";

/** Records the sum of each counter, and the last value of other metrics. */
export class RecordingMetrics implements Metrics {
  /** Values by `NAME REGION/SERVICE`, or `NAME REGION` without a service. */
  readonly values = new Map<string, number>();

  increment(name: string, value: number, tags: MetricTags): void {
    const key = keyOf(name, tags);
    this.values.set(key, (this.values.get(key) ?? 0) + value);
  }

  gauge(name: string, value: number, tags: MetricTags): void {
    this.values.set(keyOf(name, tags), value);
  }

  timing(name: string, ms: number, tags: MetricTags): void {
    this.values.set(keyOf(name, tags), ms);
  }
}

function keyOf(name: string, { region, service }: MetricTags): string {
  return `${name} ${region}${service === undefined ? "" : `/${service}`}`;
}
