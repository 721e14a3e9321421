import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { Metrics } from "../base/metrics.ts";
import type { Settings } from "../settings/settings.ts";
import type { MemberRow } from "../vms/member_row.ts";
import type { PlatformContracts } from "./platform_contracts.ts";
import type { Views } from "./views.ts";

/** Settings, views and clients that the parts of a router process share. */
export type DaemonContext = {
  cfg: Settings;
  self: Pick<
    MemberRow,
    "vm" | "incarnation" | "region" | "failureDomain" | "peerUrl"
  >;
  /** Credential with which routers authenticate to each other. */
  peerCredential: string;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  platform: PlatformContracts;
  views: Views;
  /** Aborts when the process ends; every task then stops immediately. */
  signal: AbortSignal;
};
