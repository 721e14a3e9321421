/** With fewer upstreams, one slow upstream makes up much of a domain. */
const MIN_UPSTREAMS = 8;
/** With fewer slots, the queue of one upstream says little about the next. */
const MIN_MEAN_SLOTS = 4;

/**
 * @param capacity - number of usable upstreams of a service in a failure domain,
 * and the sum of their slots
 * @returns whether there is enough capacity in the domain for shared load
 * figures to decide when requests leave it
 */
export function isBalancedDomain(
  { upstreams, slots }: { upstreams: number; slots: number },
): boolean {
  return upstreams >= MIN_UPSTREAMS && slots >= MIN_MEAN_SLOTS * upstreams;
}
