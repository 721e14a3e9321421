/** What the wait for acceptance knows of one registered router. */
export type AcceptanceMember = {
  vm: string;
  /** Undefined when the member's row could not be understood. */
  reachable: {
    peerUrl: string;
    incarnation: string;
    /** VMs that vouch for a store outage of the member. */
    witnesses: readonly string[];
    /** Incarnation of each witness; one without it proves nothing. */
    witnessIncarnations?: Readonly<Record<string, string>> | undefined;
  } | undefined;
};
