import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { LinkFault } from "./link_fault.ts";
import type { SoakFault } from "./soak_fault.ts";

type Size = { routers: number; upstreams: number; forMs: number };
type Step = { at: number; fault: SoakFault };

const MIN_GAP_MS = 200;
const MAX_GAP_MS = 1800;
const MIN_FAULT_MS = 100;
/** Longer than the lease of keys and of their leader (4 s). */
const MAX_FAULT_MS = 6000;
/** Every third seed has planned work alone, whose promises are stricter. */
const PLANNED_ONLY = 3;
const PLANNED: readonly SoakFault["kind"][] = [
  "router_stop",
  "router_reload",
  "upstream_drain",
  "config_change",
];
const KINDS: readonly SoakFault["kind"][] = [
  ...PLANNED,
  "router_pause",
  "router_kill",
  "upstream_pause",
  "upstream_kill",
  "late_orders",
  "forgotten_connections",
  "store_link",
  "upstream_link",
  "store",
  "history_lost",
];

/**
 * @param seed - the same seed gives the same plan
 * @param size - what there is, and for how long faults come
 * @returns faults in ascending order of time, in milliseconds from the start
 */
export function soakPlan(seed: number, size: Size): Step[] {
  const rng = xoroshiro128plus(seed);
  const below = (count: number) => uniformInt(rng, 0, count - 1);
  const between = (least: number, most: number) => uniformInt(rng, least, most);
  const pick = <T>(items: readonly T[]): T => {
    const item = items[below(items.length)];
    if (item === undefined) throw new Error("nothing to pick from");
    return item;
  };
  const linkFault = (): LinkFault =>
    pick<() => LinkFault>([
      () => ({ kind: "delayed", ms: between(20, 400) }),
      () => ({ kind: "silent" }),
      () => ({ kind: "one_way" }),
      () => ({ kind: "reset" }),
    ])();
  const kinds = seed % PLANNED_ONLY === 0 ? PLANNED : KINDS;
  const faultOf = (kind: SoakFault["kind"]): SoakFault => {
    const forMs = between(MIN_FAULT_MS, MAX_FAULT_MS);
    const router = below(size.routers);
    const upstream = below(size.upstreams);
    switch (kind) {
      case "router_pause":
      case "router_kill":
      case "router_stop":
        return { kind, router, forMs };
      case "router_reload":
        return { kind, router };
      case "upstream_pause":
      case "upstream_drain":
        return { kind, upstream, forMs };
      case "upstream_kill":
        return { kind, upstream, forMs, sameId: below(2) === 0 };
      case "late_orders":
        return { kind, upstream, forMs, lateMs: between(500, 5000) };
      case "forgotten_connections":
        return { kind, afterMs: between(150, 600), forMs };
      case "store_link":
        return { kind, router, fault: linkFault(), forMs };
      case "upstream_link":
        return { kind, upstream, fault: linkFault(), forMs };
      case "store":
        return {
          kind,
          fault: pick(["busy", "many", "reset", "silent", "lost"] as const),
          forMs,
        };
      case "history_lost":
      case "config_change":
        return { kind };
    }
  };
  const steps: Step[] = [];
  let at = 0;
  for (;;) {
    at += between(MIN_GAP_MS, MAX_GAP_MS);
    if (at >= size.forMs) return steps;
    steps.push({ at, fault: faultOf(pick(kinds)) });
  }
}
