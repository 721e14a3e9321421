type Measured = {
  id: string;
  /** Moving median of the service time in milliseconds; 0 if unknown. */
  serviceMs: number;
};

type Straggler = {
  slowSince: number | undefined;
  factor: number;
  raiseAt: number;
};

const SLOW_RATIO = 3;
const SLOW_FOR_MS = 1000;
const RECOVERED_RATIO = 1.5;
// One request in a while must still reach a slow upstream, or its recovery
// would not be seen.
const MIN_FACTOR = 0.05;
const RAISE_EVERY_MS = 5000;
const RAISE_BY = 1.5;
// Smaller corrections would move shards because of noise.
const LOWER_BELOW = 0.8;
const MIN_MEASURED = 3;

/** Lowers the weight of upstreams that are slower than the rest. */
export class StragglerTracker {
  readonly #known = new Map<string, Straggler>();

  /**
   * @param upstreams - the service's upstreams as measured by dispatchers
   * @param now - monotonic milliseconds
   * @returns the weight of each upstream, from 0.05 to 1
   */
  weights(upstreams: readonly Measured[], now: number): Map<string, number> {
    const median = medianOf(
      upstreams.map((upstream) => upstream.serviceMs).filter((ms) => ms > 0),
    );
    const weights = new Map<string, number>();
    for (const upstream of upstreams) {
      const straggler = this.#known.get(upstream.id) ??
        { slowSince: undefined, factor: 1, raiseAt: now };
      this.#known.set(upstream.id, straggler);
      if (median !== undefined) {
        observe(straggler, upstream.serviceMs / median, now);
      }
      weights.set(upstream.id, straggler.factor);
    }
    for (const id of this.#known.keys()) {
      if (!weights.has(id)) this.#known.delete(id);
    }
    return weights;
  }
}

function observe(straggler: Straggler, ratio: number, now: number): void {
  if (ratio > SLOW_RATIO) {
    straggler.slowSince ??= now;
    straggler.raiseAt = now + RAISE_EVERY_MS;
    if (now - straggler.slowSince < SLOW_FOR_MS) return;
    const factor = Math.max(MIN_FACTOR, 1 / ratio);
    if (factor < straggler.factor * LOWER_BELOW) straggler.factor = factor;
    return;
  }
  straggler.slowSince = undefined;
  if (straggler.factor >= 1) return;
  if (ratio > RECOVERED_RATIO) {
    straggler.raiseAt = now + RAISE_EVERY_MS;
  } else if (now >= straggler.raiseAt) {
    straggler.factor = Math.min(1, straggler.factor * RAISE_BY);
    straggler.raiseAt = now + RAISE_EVERY_MS;
  }
}

function medianOf(values: readonly number[]): number | undefined {
  if (values.length < MIN_MEASURED) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
