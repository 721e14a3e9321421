import { rendezvousScore } from "../base/rendezvous_score.ts";
import type { Upstream } from "./upstream.ts";

/**
 * Each upstream is preferred by about this many VMs, so that the number of VMs
 * per upstream varies little.
 */
const VMS_PER_UPSTREAM = 8;
/** Enough that the least loaded of them has a free slot at 70% load. */
const MIN_PREFERRED = 6;

/**
 * Returns the few upstreams that a VM prefers, chosen by rendezvous hashing. A
 * VM that spread its requests over many upstreams would send to each only once
 * in several seconds: the load reports in the answers would be out of date, and
 * each request would need a new connection.
 *
 * @param vm - name of this VM
 * @param upstreams - usable upstreams of a service in the VM's region
 * @param counts - `upstreams` of the service in all regions; `vms` of the
 * system
 * @returns the preferred upstreams, or all if there are few
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
