/**
 * Stands in the list of previous owners for upstreams to which a leader may have
 * granted the keys although no row says so. It is not registered, so the keys are
 * granted only once the leases of all earlier leaders' grants have expired.
 */
export const UNKNOWN_OWNER = { id: "", incarnation: 0 } as const;
