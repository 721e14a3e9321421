import { httpHeaders } from "../../platform/http_headers.ts";
import type { Clock } from "../../src/base/clock.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { DirectRouter } from "../../src/direct/direct_router.ts";
import { WorkTimes } from "../../src/direct/work_times.ts";
import { FleetRetryBudget } from "../../src/limits/fleet_retry_budget.ts";
import type { FleetRig } from "./fleet_rig.ts";
import { silentLogger } from "./silent_logger.ts";

/**
 * @param rig - view of the deployment
 * @param slack - number of retries in the budget
 * @param onStaleOwnership - called when the record of key owners may be stale
 * @returns a router for the upstreams of the rig
 */
export function testDirectRouter(
  rig: FleetRig<Clock>,
  slack: number,
  onStaleOwnership: () => void = () => undefined,
): DirectRouter {
  return new DirectRouter({
    view: rig.view,
    work: new WorkTimes(),
    protocol: httpHeaders,
    budget: new FleetRetryBudget({
      clock: rig.clock,
      bound: { ratio: 0, windowMs: 10_000, slack },
      vms: () => 1,
    }),
    clock: rig.clock,
    logger: silentLogger(),
    metrics: new DirectMetrics(),
    location: { vm: "vm-1", failureDomain: "a1", region: "a" },
    countKey: () => undefined,
    onStaleOwnership,
    configAgeMs: () => 0,
    registryAgeMs: () => 0,
  });
}
