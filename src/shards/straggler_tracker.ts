type MeasuredUpstream = {
  id: string;
  /** Moving median of the service time in milliseconds; 0 if unknown. */
  serviceMs: number;
};

type WeightState = {
  /** Since when the upstream has been slow, in monotonic milliseconds. */
  slowSince: number | undefined;
  weight: number;
  /** Earliest time of the next raise, in monotonic milliseconds. */
  raiseAt: number;
};

// Ratios of an upstream's service time to the median over all upstreams.
const SLOW_RATIO = 3;
const MIN_SLOW_DURATION_MS = 1000;
const RECOVERED_RATIO = 1.5;
// A slow upstream must still receive occasional requests, or its recovery would
// not be detected.
const MIN_WEIGHT = 0.05;
const RAISE_INTERVAL_MS = 5000;
const RAISE_RATIO = 1.5;
// A weight is lowered only to less than this fraction of its old value. Smaller
// corrections would move shards because of noise.
const LOWER_BELOW_RATIO = 0.8;
const MIN_MEASURED_UPSTREAMS = 3;

/**
 * Lowers the weight of upstreams that stay much slower than the median, and
 * raises it again in steps once they have recovered.
 */
export class StragglerTracker {
  readonly #states = new Map<string, WeightState>();

  /**
   * @param upstreams - the service's upstreams as measured by dispatchers
   * @param now - monotonic milliseconds
   * @returns the weight of each upstream by id, from 0.05 to 1
   */
  weights(
    upstreams: readonly MeasuredUpstream[],
    now: number,
  ): Map<string, number> {
    const median = medianOf(
      upstreams.map((upstream) => upstream.serviceMs).filter((ms) => ms > 0),
    );
    const weights = new Map<string, number>();
    for (const upstream of upstreams) {
      const state = this.#states.get(upstream.id) ??
        { slowSince: undefined, weight: 1, raiseAt: now };
      this.#states.set(upstream.id, state);
      if (median !== undefined) {
        updateWeight(state, upstream.serviceMs / median, now);
      }
      weights.set(upstream.id, state.weight);
    }
    for (const id of this.#states.keys()) {
      if (!weights.has(id)) this.#states.delete(id);
    }
    return weights;
  }
}

function updateWeight(state: WeightState, ratio: number, now: number): void {
  if (ratio > SLOW_RATIO) {
    state.slowSince ??= now;
    state.raiseAt = now + RAISE_INTERVAL_MS;
    if (now - state.slowSince < MIN_SLOW_DURATION_MS) return;
    const weight = Math.max(MIN_WEIGHT, 1 / ratio);
    if (weight < state.weight * LOWER_BELOW_RATIO) state.weight = weight;
    return;
  }
  state.slowSince = undefined;
  if (state.weight >= 1) return;
  if (ratio > RECOVERED_RATIO) {
    state.raiseAt = now + RAISE_INTERVAL_MS;
  } else if (now >= state.raiseAt) {
    state.weight = Math.min(1, state.weight * RAISE_RATIO);
    state.raiseAt = now + RAISE_INTERVAL_MS;
  }
}

function medianOf(values: readonly number[]): number | undefined {
  if (values.length < MIN_MEASURED_UPSTREAMS) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
