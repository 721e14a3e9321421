import type { FollowTimes } from "./follow_times.ts";

const FEED_WAIT_FRACTION = 0.22;
const RESPONSE_TIMEOUT_FRACTION = 0.2;
/** A call that waits, the pause before it, and the timeout for its response. */
const RELAY_MAX_AGE_FRACTION = 0.5;
/**
 * What remains of the bound is for a call on a connection that is dead, the
 * delay after it, and a call on a new connection between regions.
 */
const MAX_AGE_FRACTION = 0.6;

/**
 * @param boundMs - time in which changes of the table must be in force, in
 * milliseconds
 * @returns times with which changes are known within the bound, also if the
 * relay is lost and the connection to the store is dead
 */
export function followTimesFor(boundMs: number): FollowTimes {
  return {
    feedWaitMs: boundMs * FEED_WAIT_FRACTION,
    responseTimeoutMs: boundMs * RESPONSE_TIMEOUT_FRACTION,
    relayMaxAgeMs: boundMs * RELAY_MAX_AGE_FRACTION,
    maxAgeMs: boundMs * MAX_AGE_FRACTION,
  };
}
