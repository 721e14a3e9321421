type Observed = {
  id: string;
  /** Undefined while no dispatcher has reported on the upstream. */
  state: "cold" | "warm" | "draining" | "lost" | undefined;
  out: boolean;
  /** Shards that the upstream owns. */
  count: number;
};

type WarmUp = { allowed: number; doubleAt: number };

const FIRST_PART = 8;

/**
 * Bounds the shards of upstreams that start, return or fall back into cold
 * start, so that they receive their shards in steps.
 */
export class WarmUpTracker {
  readonly #warming = new Map<string, WarmUp>();
  readonly #done = new Set<string>();

  /**
   * @param input - `upstreams` as observed; `own` number of shards to divide;
   * `ratePerS` of the whole service, 0 if unknown; `coldStart` of the service
   * @param now - monotonic milliseconds
   * @returns the most shards of each upstream that has a bound
   */
  caps(
    input: {
      upstreams: readonly Observed[];
      own: number;
      ratePerS: number;
      coldStart: { ratePerS: number; rampMs: number };
    },
    now: number,
  ): Map<string, number> {
    const caps = new Map<string, number>();
    const usable = input.upstreams.filter((item) => isUsable(item));
    const fair = input.own / Math.max(1, usable.length);
    for (const upstream of input.upstreams) {
      if (!isUsable(upstream)) {
        this.#warming.delete(upstream.id);
        this.#done.delete(upstream.id);
        continue;
      }
      const cap = this.#cap(upstream, { ...input, fair }, now);
      if (cap !== undefined) caps.set(upstream.id, cap);
    }
    return caps;
  }

  #cap(
    upstream: Observed,
    input: {
      own: number;
      fair: number;
      ratePerS: number;
      coldStart: { ratePerS: number; rampMs: number };
    },
    now: number,
  ): number | undefined {
    const { id, count, state } = upstream;
    // Nothing is known of the upstream, so it neither gains nor loses.
    if (state === undefined) return count;
    if (state === "warm" && this.#done.has(id)) return undefined;
    let warming = this.#warming.get(id);
    if (warming === undefined) {
      // A warm upstream that already owns shards was there before this
      // coordinator.
      if (state === "warm" && count > 0) {
        this.#done.add(id);
        return undefined;
      }
      this.#done.delete(id);
      warming = { allowed: firstStep(input), doubleAt: Infinity };
      this.#warming.set(id, warming);
    }
    warming.allowed = Math.max(warming.allowed, count);
    if (state !== "warm") {
      warming.doubleAt = Infinity;
      return warming.allowed;
    }
    if (warming.doubleAt === Infinity) {
      warming.doubleAt = now + input.coldStart.rampMs;
    }
    while (now >= warming.doubleAt) {
      warming.allowed *= 2;
      warming.doubleAt += input.coldStart.rampMs;
      if (warming.allowed >= 2 * input.fair) {
        this.#warming.delete(id);
        this.#done.add(id);
        return undefined;
      }
    }
    return warming.allowed;
  }
}

function isUsable(upstream: Observed): boolean {
  return !upstream.out && upstream.state !== "lost" &&
    upstream.state !== "draining";
}

function firstStep(input: {
  own: number;
  fair: number;
  ratePerS: number;
  coldStart: { ratePerS: number };
}): number {
  const byPart = Math.max(1, Math.ceil(input.fair / FIRST_PART));
  if (input.ratePerS <= 0 || input.own === 0) return byPart;
  const perShard = input.ratePerS / input.own;
  const byRate = Math.floor(input.coldStart.ratePerS / perShard);
  return Math.max(1, Math.min(byPart, byRate));
}
