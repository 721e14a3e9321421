/** One request of a caller, and how it ended; times of the computer's clock. */
export type SoakCall = {
  id: string;
  /** The request may run at most once. */
  once: boolean;
  /** Number of the router, and of its process. */
  router: number;
  run: number;
  sentAt: number;
  endedAt: number;
  end:
    /** `whole`: signed, and the upstream's whole answer to this request. */
    | { kind: "answered"; status: number; whole: boolean }
    /** `connected`: the request may have reached the router. */
    | { kind: "failed"; reason: string; connected: boolean };
};
