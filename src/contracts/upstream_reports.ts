import type { ResultAsync } from "neverthrow";
import type { UpstreamHealth } from "./upstream_health.ts";

type ReportError = { kind: "unavailable"; message: string };

/** Health and load endpoints of upstreams. */
export interface UpstreamReports {
  /**
   * @param address - `ip:port` of the upstream
   * @param signal - cancels the call
   * @returns the upstream's health, or why it could not be read
   */
  health(
    address: string,
    signal: AbortSignal,
  ): ResultAsync<UpstreamHealth, ReportError>;

  /**
   * @param address - `ip:port` of the upstream
   * @param signal - cancels the call
   * @returns the load, at least 0 (idle), or why it could not be read
   */
  load(
    address: string,
    signal: AbortSignal,
  ): ResultAsync<{ load: number }, ReportError>;
}
