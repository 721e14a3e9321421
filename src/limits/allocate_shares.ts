import type { Share } from "./share.ts";

type Demand = { vm: string; demandPerS: number; demandConcurrency: number };

// Fraction of a rate that is divided equally regardless of demand, so that the
// first request at an idle router finds a token.
const IDLE_RATE_FRACTION = 0.1;
// Allows for demand that grows between two renewals.
const DEMAND_HEADROOM_FACTOR = 1.25;

/**
 * Divides a region's limits for an entry over routers by demand. Every router
 * gets a small share, and what no router demands is divided equally.
 *
 * @param regionLimits - the region's limits for the entry
 * @param routers - demand of each router
 * @returns the share of each router; their sum is at most `regionLimits`
 */
export function allocateShares(
  regionLimits: Share,
  routers: readonly Demand[],
): Map<string, Share> {
  const shares = new Map<string, Share>();
  if (routers.length === 0) return shares;
  const idleRatePerS = regionLimits.ratePerS * IDLE_RATE_FRACTION /
    routers.length;
  const rates = divideRate(
    regionLimits.ratePerS,
    routers.map((router) =>
      Math.max(idleRatePerS, router.demandPerS * DEMAND_HEADROOM_FACTOR)
    ),
    idleRatePerS,
  );
  const slots = divideSlots(
    regionLimits.concurrency,
    routers.map((router) => router.demandConcurrency),
  );
  for (const [index, { vm }] of routers.entries()) {
    shares.set(vm, {
      ratePerS: rates[index] ?? 0,
      concurrency: slots[index] ?? 0,
    });
  }
  return shares;
}

/**
 * Satisfies the smallest demands first, then divides the remaining rate equally.
 */
function divideRate(
  total: number,
  demands: readonly number[],
  floor: number,
): number[] {
  const granted = demands.map(() => floor);
  let remaining = total - floor * demands.length;
  const ascending = [...demands.keys()]
    .sort((a, b) => (demands[a] ?? 0) - (demands[b] ?? 0));
  for (const [position, index] of ascending.entries()) {
    const fair = remaining / (ascending.length - position);
    const extra = Math.min(fair, (demands[index] ?? 0) - floor);
    granted[index] = floor + extra;
    remaining -= extra;
  }
  return granted.map((share) => share + remaining / demands.length);
}

/** Divides concurrency slots, which are whole numbers. */
function divideSlots(total: number, demands: readonly number[]): number[] {
  const granted = demands.map(() => 0);
  let remaining = total;
  const addOneSlot = (eligible: (index: number) => boolean) => {
    for (const index of demands.keys()) {
      if (remaining === 0) return;
      if (!eligible(index)) continue;
      granted[index] = (granted[index] ?? 0) + 1;
      remaining -= 1;
    }
  };
  addOneSlot((index) => (demands[index] ?? 0) > 0);
  addOneSlot((index) => granted[index] === 0);
  // Each round adds at least one slot to every router that wants more, so that
  // the number of rounds is at most the largest demand.
  const wantsMore = (index: number) =>
    (granted[index] ?? 0) <
      Math.ceil((demands[index] ?? 0) * DEMAND_HEADROOM_FACTOR);
  while (remaining > 0 && [...demands.keys()].some(wantsMore)) {
    const unsatisfied = [...demands.keys()].filter(wantsMore);
    const each = Math.floor(remaining / unsatisfied.length);
    if (each === 0) {
      addOneSlot(wantsMore);
      break;
    }
    for (const index of unsatisfied) {
      const missing =
        Math.ceil((demands[index] ?? 0) * DEMAND_HEADROOM_FACTOR) -
        (granted[index] ?? 0);
      const extra = Math.min(each, missing);
      granted[index] = (granted[index] ?? 0) + extra;
      remaining -= extra;
    }
  }
  const each = Math.floor(remaining / demands.length);
  remaining -= each * demands.length;
  return granted.map((share, index) =>
    share + each + (index < remaining ? 1 : 0)
  );
}
