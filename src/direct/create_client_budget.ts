import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import { ClientBudget } from "../limits/client_budget.ts";
import type { ClientLimitReason } from "../limits/client_limit_reason.ts";
import type { ClientLimits } from "../limits/client_limits.ts";
import type { DirectMetrics } from "./direct_metrics.ts";

/** Shortest time between two log lines on clients at their limits. */
const LOG_INTERVAL_MS = 5000;

/**
 * Creates the budget of clients of a daemon, with its metrics and log line.
 *
 * @param opts - limits, clock, log and metrics
 * @returns the budget
 */
export function createClientBudget(opts: {
  cfg: ClientLimits;
  clock: Clock;
  logger: Logger;
  metrics: Pick<DirectMetrics, "limitedClients" | "clientMemory">;
}): ClientBudget {
  const { cfg, clock, logger, metrics } = opts;
  let counts: Partial<Record<ClientLimitReason, number>> = {};
  let loggedAt = Number.NEGATIVE_INFINITY;
  const budget = new ClientBudget(cfg, (reason) => {
    metrics.limitedClients.inc({ reason });
    counts[reason] = (counts[reason] ?? 0) + 1;
    const now = clock.now();
    if (now - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = now;
    logger.warn(
      { counts, usedBytes: budget.used, limits: cfg },
      "clients reached a limit; refusing requests or closing connections",
    );
    counts = {};
  });
  metrics.clientMemory.collect = () => metrics.clientMemory.set(budget.used);
  return budget;
}
