import type { ZoneFigures } from "./zone_figures.ts";

/**
 * Weight of the difference between the recent and the mean rate of arrivals. It
 * makes up for the age of the figures, about half a second, in a wave.
 */
const TREND_WEIGHT = 0.5;

/**
 * Estimates how many slots a zone needs, relative to those it has, if it serves
 * all its requests itself. Depends on the arrivals, not on what is sent to other
 * zones, so that a decision does not feed back into the next one.
 *
 * @param figures - load of a service in the zone
 * @param capacity - `slots` of the usable upstreams there; `workMs`, mean run
 * time of a request at an average upstream
 * @returns needed slots per slot, including those for requests that wait
 */
export function zoneDemand(
  figures: ZoneFigures,
  { slots, workMs }: { slots: number; workMs: number },
): number {
  const { arrivalsPerS, recentPerS, inFlight, slowed } = figures;
  const slowdown = inFlight === 0 ? 1 : slowed / inFlight;
  const perS = recentPerS + TREND_WEIGHT * (recentPerS - arrivalsPerS);
  const needed = Math.max(0, perS) * slowdown * workMs / 1000;
  return (needed + Math.max(0, inFlight - slots)) / slots;
}
