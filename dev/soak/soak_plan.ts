import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { LinkFault } from "./link_fault.ts";
import type { SoakFault } from "./soak_fault.ts";

type PlanSize = {
  routers: number;
  upstreams: number;
  failureDomains: number;
  durationMs: number;
};
type RandomKind = Exclude<SoakFault["kind"], "partition" | "store_restore">;
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
/**
 * Among the others, each second seed has partitions as well, one after another:
 * keys that change their owners during one often bring out a second owner.
 */
const PARTITION_SEED_INTERVAL = 2;
const MIN_PARTITION_MS = 3000;
/** Longer than a lease of keys, its slack and the timeout of an order. */
const MAX_PARTITION_MS = 6000;
const MIN_PARTITION_PAUSE_MS = 1000;
const MAX_PARTITION_PAUSE_MS = 3000;
/** Among the seeds with faults, each of these has one restore of the store. */
const RESTORE_SEED_INTERVAL = 7;
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 5000;
const MAX_STORE_AWAY_MS = 4000;
const PLANNED_KINDS: readonly RandomKind[] = [
  "router_stop",
  "router_reload",
  "upstream_drain",
  "config_change",
];
const RANDOM_KINDS: readonly RandomKind[] = [
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
  const plannedOnly = seed % PLANNED_ONLY_SEED_INTERVAL === 0;
  const kinds = plannedOnly ? PLANNED_KINDS : RANDOM_KINDS;
  const faultOf = (kind: typeof kinds[number]): SoakFault => {
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
    if (atMs >= size.durationMs) break;
    plan.push({ atMs, fault: faultOf(pick(kinds)) });
  }
  if (!plannedOnly && seed % RESTORE_SEED_INTERVAL === 0) {
    plan.push({
      atMs: randomBelow(size.durationMs),
      fault: {
        kind: "store_restore",
        copyAgeMs: randomBetween(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS),
        durationMs: randomBetween(MIN_FAULT_DURATION_MS, MAX_STORE_AWAY_MS),
      },
    });
    plan.sort((a, b) => a.atMs - b.atMs);
  }
  if (plannedOnly || seed % PARTITION_SEED_INTERVAL !== 0) return plan;
  for (atMs = MIN_PARTITION_PAUSE_MS; atMs < size.durationMs;) {
    const durationMs = randomBetween(MIN_PARTITION_MS, MAX_PARTITION_MS);
    plan.push({
      atMs,
      fault: {
        kind: "partition",
        failureDomain: randomBelow(size.failureDomains),
        storeReachable: randomBelow(2) === 0,
        durationMs,
      },
    });
    atMs += durationMs +
      randomBetween(MIN_PARTITION_PAUSE_MS, MAX_PARTITION_PAUSE_MS);
  }
  return plan.sort((a, b) => a.atMs - b.atMs);
}
