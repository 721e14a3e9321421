import type { AttemptResult } from "./attempt_result.ts";
import type { CallerCall } from "./caller_call.ts";
import type { Route } from "./route.ts";
import type { Upstream } from "./upstream.ts";

/** One caller's request on its way. */
export type CallState = {
  call: CallerCall;
  route: Route;
  service: string;
  keyed: boolean;
  /** Monotonic milliseconds. */
  deadlineAt: number;
  tried: Set<Upstream>;
  /** Requests that left this VM. */
  sends: number;
  notSent: number;
  /** Whether an upstream may have run the request. */
  mayHaveRun: boolean;
  /** A failure that an upstream answered, in case no other does better. */
  failure: Extract<AttemptResult, { kind: "answered" }> | undefined;
  /** What happened, for the log. */
  steps: string[];
};
