import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { LinkFault } from "./link_fault.ts";
import type { SoakFault } from "./soak_fault.ts";

type PlanSize = { routers: number; upstreams: number; durationMs: number };
type ScheduledFault = { atMs: number; fault: SoakFault };

const MIN_FAULT_INTERVAL_MS = 200;
const MAX_FAULT_INTERVAL_MS = 1800;
const MIN_FAULT_DURATION_MS = 100;
/** Longer than the leases of keys and of the leader (4 s). */
const MAX_FAULT_DURATION_MS = 6000;
/**
 * Every third seed plans only planned work and no faults. Its guarantees are
 * stricter: no request may fail.
 */
const PLANNED_ONLY_SEED_INTERVAL = 3;
const PLANNED_KINDS: readonly SoakFault["kind"][] = [
  "router_stop",
  "router_reload",
  "upstream_drain",
  "config_change",
];
const ALL_KINDS: readonly SoakFault["kind"][] = [
  ...PLANNED_KINDS,
  "router_pause",
  "router_kill",
  "upstream_pause",
  "upstream_kill",
  "delayed_orders",
  "idle_connection_reset",
  "store_link",
  "upstream_link",
  "store",
  "history_lost",
];

/**
 * Plans the faults of one soak run.
 *
 * @param seed - the same seed gives the same plan
 * @param size - numbers of routers and upstreams, and the time during which
 * faults start, in milliseconds
 * @returns faults in ascending order of time, in milliseconds from the start
 */
export function soakPlan(seed: number, size: PlanSize): ScheduledFault[] {
  const rng = xoroshiro128plus(seed);
  const randomBelow = (limit: number) => uniformInt(rng, 0, limit - 1);
  const randomBetween = (min: number, max: number) => uniformInt(rng, min, max);
  const pick = <T>(items: readonly T[]): T => {
    const item = items[randomBelow(items.length)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
  };
  const linkFault = (): LinkFault =>
    pick<() => LinkFault>([
      () => ({ kind: "delayed", ms: randomBetween(20, 400) }),
      () => ({ kind: "silent" }),
      () => ({ kind: "one_way" }),
      () => ({ kind: "reset" }),
    ])();
  const kinds = seed % PLANNED_ONLY_SEED_INTERVAL === 0
    ? PLANNED_KINDS
    : ALL_KINDS;
  const faultOf = (kind: SoakFault["kind"]): SoakFault => {
    const durationMs = randomBetween(
      MIN_FAULT_DURATION_MS,
      MAX_FAULT_DURATION_MS,
    );
    const router = randomBelow(size.routers);
    const upstream = randomBelow(size.upstreams);
    switch (kind) {
      case "router_pause":
      case "router_kill":
      case "router_stop":
        return { kind, router, durationMs };
      case "router_reload":
        return { kind, router };
      case "upstream_pause":
      case "upstream_drain":
        return { kind, upstream, durationMs };
      case "upstream_kill":
        return { kind, upstream, durationMs, sameId: randomBelow(2) === 0 };
      case "delayed_orders":
        return {
          kind,
          upstream,
          durationMs,
          delayMs: randomBetween(500, 5000),
        };
      case "idle_connection_reset":
        return { kind, afterMs: randomBetween(150, 600), durationMs };
      case "store_link":
        return { kind, router, fault: linkFault(), durationMs };
      case "upstream_link":
        return { kind, upstream, fault: linkFault(), durationMs };
      case "store":
        return {
          kind,
          fault: pick(["busy", "many", "reset", "silent", "lost"] as const),
          durationMs,
        };
      case "history_lost":
      case "config_change":
        return { kind };
    }
  };
  const plan: ScheduledFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs += randomBetween(MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS);
    if (atMs >= size.durationMs) return plan;
    plan.push({ atMs, fault: faultOf(pick(kinds)) });
  }
}
