/** StatsD metrics; names are listed with units in docs/operations.md. */
export interface Metrics {
  /**
   * @param name - metric name without the prefix
   * @param value - how much to add
   * @param tags - service and region only, never a key or path
   */
  increment(name: string, value: number, tags: Record<string, string>): void;

  /**
   * @param name - metric name without the prefix
   * @param value - present value
   * @param tags - service and region only
   */
  gauge(name: string, value: number, tags: Record<string, string>): void;

  /**
   * @param name - metric name without the prefix
   * @param ms - duration in milliseconds
   * @param tags - service and region only
   */
  timing(name: string, ms: number, tags: Record<string, string>): void;
}
