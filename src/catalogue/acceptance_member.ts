/** A registered router that has to accept a catalogue version. */
export type AcceptanceMember = {
  vm: string;
  /** Fields of the member's row; undefined when it could not be parsed. */
  reachable: {
    peerUrl: string;
    incarnation: string;
    /** VMs whose agreement the member needs to serve in an outage. */
    witnesses: readonly string[];
    /**
     * Incarnation of each witness when the row was written. A witness without
     * one is no evidence.
     */
    witnessIncarnations?: Readonly<Record<string, string>> | undefined;
  } | undefined;
};
