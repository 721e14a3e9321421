import type { DomainLoad } from "./domain_load.ts";

/**
 * Estimates how many slots a domain needs, relative to those it has, if it serves
 * all its requests itself. Depends on the arrivals, not on what is sent to other
 * domains, so that a decision does not feed back into the next one.
 *
 * @param figures - load of a service in the domain
 * @param capacity - `slots` of the usable upstreams there; `workMs`, mean run
 * time of a request at an average upstream
 * @returns needed slots per slot, including those for requests that wait
 */
export function domainDemand(
  figures: DomainLoad,
  { slots, workMs }: { slots: number; workMs: number },
): number {
  const { workPerS, inFlight } = figures;
  const needed = Math.max(0, workPerS) * workMs / 1000;
  return (needed + Math.max(0, inFlight - slots)) / slots;
}
