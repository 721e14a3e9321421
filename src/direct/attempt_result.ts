import type { UpstreamAnswer } from "./upstream_answer.ts";

/** What came of sending a request to one upstream. */
export type AttemptResult =
  /** A whole answer to this request. */
  | {
    kind: "answered";
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: Uint8Array;
    /**
     * Whether the upstream told where the body ends. Otherwise the connection's
     * end was the body's, and a body that was cut short looks the same.
     */
    framed: boolean;
    answer: UpstreamAnswer;
  }
  /** The upstream has not run the request and says so. */
  | { kind: "rejected"; status: number; answer: UpstreamAnswer }
  /** No byte of the request left this VM. */
  | {
    kind: "not_sent";
    reason: string;
    /** The upstream is there, but accepts no further connection now. */
    full: boolean;
  }
  /** The request may have run; there is no usable answer. */
  | { kind: "lost"; reason: string };
