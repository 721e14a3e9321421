import { rendezvousScore } from "../base/rendezvous_score.ts";
import type { Upstream } from "./upstream.ts";

/**
 * Each upstream is preferred by about so many VMs, so that the number of
 * preferences differs little from one upstream to the next.
 */
const VMS_PER_UPSTREAM = 8;
/** Enough choice for the least loaded of them to be free at 70% load. */
const MIN_PREFERRED = 6;

/**
 * A VM that meets each of many upstreams once in some seconds knows nothing of
 * their load and needs a new connection each time. It prefers a few.
 *
 * @param vm - this VM
 * @param upstreams - usable upstreams of a service in the VM's region
 * @param counts - `upstreams` of the service in all regions; `vms` of the system
 * @returns the preferred ones; all, if they are few
 */
export function preferredUpstreams(
  vm: string,
  upstreams: readonly Upstream[],
  counts: { upstreams: number; vms: number },
): readonly Upstream[] {
  const size = Math.max(
    MIN_PREFERRED,
    Math.ceil(VMS_PER_UPSTREAM * counts.upstreams / counts.vms),
  );
  if (upstreams.length <= size) return upstreams;
  return upstreams
    .map((upstream) => ({
      upstream,
      score: rendezvousScore(vm, upstream.entry.id),
    }))
    .sort((a, b) => b.score - a.score)
    .slice(0, size)
    .map(({ upstream }) => upstream);
}
