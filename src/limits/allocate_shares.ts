import type { Share } from "./share.ts";

type Demand = { vm: string; demandPerS: number; demandConcurrency: number };

// Part of a rate that is divided equally, whatever the demand, so that the
// first request at an idle router finds a token.
const IDLE_PART = 0.1;
// Demand grows between two renewals.
const HEADROOM = 1.25;

/**
 * Divides a region's part of an entry's limits by demand. Every router keeps a
 * small part, and what no router demands is divided equally.
 *
 * @param part - the region's part
 * @param routers - demand of each router
 * @returns the share of each router; their sum is at most the part
 */
export function allocateShares(
  part: Share,
  routers: readonly Demand[],
): Map<string, Share> {
  const shares = new Map<string, Share>();
  if (routers.length === 0) return shares;
  const idle = part.ratePerS * IDLE_PART / routers.length;
  const rates = divide(
    part.ratePerS,
    routers.map((router) => Math.max(idle, router.demandPerS * HEADROOM)),
    idle,
  );
  const slots = divideWhole(
    part.concurrency,
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

/** Fills the smallest demands first, then divides the rest equally. */
function divide(
  total: number,
  demands: readonly number[],
  floor: number,
): number[] {
  const granted = demands.map(() => floor);
  let rest = total - floor * demands.length;
  const ascending = [...demands.keys()]
    .sort((a, b) => (demands[a] ?? 0) - (demands[b] ?? 0));
  for (const [place, index] of ascending.entries()) {
    const fair = rest / (ascending.length - place);
    const more = Math.min(fair, (demands[index] ?? 0) - floor);
    granted[index] = floor + more;
    rest -= more;
  }
  return granted.map((share) => share + rest / demands.length);
}

function divideWhole(total: number, demands: readonly number[]): number[] {
  const granted = demands.map(() => 0);
  let rest = total;
  const give = (wanted: (index: number) => boolean) => {
    for (const index of demands.keys()) {
      if (rest === 0) return;
      if (!wanted(index)) continue;
      granted[index] = (granted[index] ?? 0) + 1;
      rest -= 1;
    }
  };
  give((index) => (demands[index] ?? 0) > 0);
  give((index) => granted[index] === 0);
  // Rounds give one slot to each router that still wants one; a round never
  // needs to be repeated more often than the largest demand.
  const wants = (index: number) =>
    (granted[index] ?? 0) < Math.ceil((demands[index] ?? 0) * HEADROOM);
  while (rest > 0 && [...demands.keys()].some(wants)) {
    const open = [...demands.keys()].filter(wants);
    const each = Math.floor(rest / open.length);
    if (each === 0) {
      give(wants);
      break;
    }
    for (const index of open) {
      const missing = Math.ceil((demands[index] ?? 0) * HEADROOM) -
        (granted[index] ?? 0);
      const more = Math.min(each, missing);
      granted[index] = (granted[index] ?? 0) + more;
      rest -= more;
    }
  }
  const each = Math.floor(rest / demands.length);
  rest -= each * demands.length;
  return granted.map((share, index) => share + each + (index < rest ? 1 : 0));
}
