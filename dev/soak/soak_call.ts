/** One request of a caller and its outcome; times in ms, host clock. */
export type SoakCall = {
  id: string;
  /** The request must not run more than once: it is not idempotent. */
  atMostOnce: boolean;
  /** Index of the router. */
  router: number;
  /** Number of the router's process, from 1. */
  incarnation: number;
  sentAt: number;
  endedAt: number;
  outcome:
    /** `intact`: signed, and the upstream's full answer to this request. */
    | { kind: "answered"; status: number; intact: boolean }
    /** `connected`: the request may have reached the router. */
    | { kind: "failed"; reason: string; connected: boolean };
};
