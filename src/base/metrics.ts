import type { MetricName } from "./metric_name.ts";
import type { MetricTags } from "./metric_tags.ts";

/** StatsD metrics; `METRIC_CATALOGUE` lists them with units. */
export interface Metrics {
  /**
   * @param name - metric name without the prefix
   * @param value - amount to add
   * @param tags - service and region
   */
  increment(name: MetricName<"counter">, value: number, tags: MetricTags): void;

  /**
   * @param name - metric name without the prefix
   * @param value - current value
   * @param tags - service and region
   */
  gauge(name: MetricName<"gauge">, value: number, tags: MetricTags): void;

  /**
   * @param name - metric name without the prefix
   * @param ms - duration in milliseconds
   * @param tags - service and region
   */
  timing(name: MetricName<"timing">, ms: number, tags: MetricTags): void;
}
