import type { UpstreamAnswer } from "./upstream_answer.ts";

/** Result of sending a request to one upstream. */
export type AttemptResult =
  /** A complete answer to this request. */
  | {
    kind: "answered";
    status: number;
    headers: Record<string, string | string[] | undefined>;
    body: Uint8Array;
    /**
     * Whether the answer's headers define where the body ends. Otherwise the
     * body ended with the connection, and a truncated body cannot be
     * recognized.
     */
    framed: boolean;
    answer: UpstreamAnswer;
  }
  /** The upstream answered that it has not run the request. */
  | { kind: "rejected"; status: number; answer: UpstreamAnswer }
  /** No byte of the request was sent. */
  | {
    kind: "not_sent";
    reason: string;
    /**
     * `connection_rejected`: the upstream is reachable but accepts no further
     * connection. `leaving`: it must get no requests any more.
     */
    cause: "no_connection" | "connection_rejected" | "leaving";
  }
  /** The request may have run; there is no usable answer. */
  | { kind: "lost"; reason: string };
