type ObservedUpstream = {
  id: string;
  /** Undefined until a dispatcher has reported the upstream's state. */
  state: "cold" | "warm" | "draining" | "lost" | undefined;
  /** Whether the upstream is out of service. */
  out: boolean;
  /** Number of shards that the upstream owns. */
  count: number;
};

type WarmUp = {
  maxShards: number;
  /** When `maxShards` doubles; Infinity until the upstream is warm. */
  doubleAt: number;
};

// The first step is at most 1/8 of a fair share, but at least one shard.
const FIRST_STEP_DIVISOR = 8;

/**
 * Caps the number of shards of upstreams that start, return or become cold
 * again, so that they receive their shards in steps.
 */
export class WarmUpTracker {
  readonly #warming = new Map<string, WarmUp>();
  readonly #warmedUp = new Set<string>();

  /**
   * @param input - `upstreams` as observed; `own` number of shards to divide;
   * `ratePerS` requests per second of the whole service, 0 if unknown;
   * `coldStart` of the service: the request rate that bounds the first step,
   * and the time in milliseconds after which a warm upstream's cap doubles
   * @param now - monotonic milliseconds
   * @returns the maximum number of shards of each capped upstream, by id
   */
  caps(
    input: {
      upstreams: readonly ObservedUpstream[];
      own: number;
      ratePerS: number;
      coldStart: { ratePerS: number; rampMs: number };
    },
    now: number,
  ): Map<string, number> {
    const caps = new Map<string, number>();
    const usable = input.upstreams.filter((item) => isUsable(item));
    const fairShare = input.own / Math.max(1, usable.length);
    for (const upstream of input.upstreams) {
      if (!isUsable(upstream)) {
        this.#warming.delete(upstream.id);
        this.#warmedUp.delete(upstream.id);
        continue;
      }
      const cap = this.#capFor(upstream, { ...input, fairShare }, now);
      if (cap !== undefined) caps.set(upstream.id, cap);
    }
    return caps;
  }

  #capFor(
    upstream: ObservedUpstream,
    input: {
      own: number;
      fairShare: number;
      ratePerS: number;
      coldStart: { ratePerS: number; rampMs: number };
    },
    now: number,
  ): number | undefined {
    const { id, count, state } = upstream;
    // The upstream's state is unknown, so it neither gains nor loses shards.
    if (state === undefined) return count;
    if (state === "warm" && this.#warmedUp.has(id)) return undefined;
    let warming = this.#warming.get(id);
    if (warming === undefined) {
      // A warm upstream that already owns shards was in use before this
      // coordinator's term.
      if (state === "warm" && count > 0) {
        this.#warmedUp.add(id);
        return undefined;
      }
      this.#warmedUp.delete(id);
      warming = { maxShards: firstStepCap(input), doubleAt: Infinity };
      this.#warming.set(id, warming);
    }
    warming.maxShards = Math.max(warming.maxShards, count);
    if (state !== "warm") {
      warming.doubleAt = Infinity;
      return warming.maxShards;
    }
    if (warming.doubleAt === Infinity) {
      warming.doubleAt = now + input.coldStart.rampMs;
    }
    while (now >= warming.doubleAt) {
      warming.maxShards *= 2;
      warming.doubleAt += input.coldStart.rampMs;
      if (warming.maxShards >= 2 * input.fairShare) {
        this.#warming.delete(id);
        this.#warmedUp.add(id);
        return undefined;
      }
    }
    return warming.maxShards;
  }
}

function isUsable(upstream: ObservedUpstream): boolean {
  return !upstream.out && upstream.state !== "lost" &&
    upstream.state !== "draining";
}

function firstStepCap(input: {
  own: number;
  fairShare: number;
  ratePerS: number;
  coldStart: { ratePerS: number };
}): number {
  const byFairShare = Math.max(
    1,
    Math.ceil(input.fairShare / FIRST_STEP_DIVISOR),
  );
  if (input.ratePerS <= 0 || input.own === 0) return byFairShare;
  const ratePerShard = input.ratePerS / input.own;
  const byColdStartRate = Math.floor(input.coldStart.ratePerS / ratePerShard);
  return Math.max(1, Math.min(byFairShare, byColdStartRate));
}
