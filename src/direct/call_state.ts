import type { UpstreamConnection } from "../upstreams/upstream_connection.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { CallerCall } from "./caller_call.ts";
import type { Route } from "./route.ts";
import type { Upstream } from "./upstream.ts";

/** State of one caller's request while it is being served. */
export type CallState = {
  call: CallerCall;
  route: Route;
  service: string;
  /** Whether the service is keyed. */
  keyed: boolean;
  /** Version of the configuration that the route is from. */
  config: number;
  /** Age of that configuration when the route was chosen, in milliseconds. */
  configAgeMs: number | undefined;
  /** Deadline in monotonic milliseconds. */
  deadlineAt: number;
  /** Upstreams that are not chosen again for this request. */
  tried: Set<Upstream>;
  /** Connections on which the request has been sent. */
  sentOn: Set<UpstreamConnection>;
  /** Attempts started so far. */
  sends: number;
  /** Attempts that failed before anything was sent. */
  unsentAttempts: number;
  /** Whether an upstream may have run the request. */
  mayHaveRun: boolean;
  /** Failed answer of an upstream, delivered if no retry succeeds. */
  failure: Extract<AttemptResult, { kind: "answered" }> | undefined;
  /** Descriptions of the choices and results so far, for the log. */
  steps: string[];
};
