import type { RefusalCode } from "../base/refusal_code.ts";
import type { Upstream } from "./upstream.ts";

/** What to do next with a request. */
export type Choice =
  /** The answer is expected after `expectedMs`. */
  | { kind: "send"; upstream: Upstream; expectedMs: number }
  /** Choose again when the view changes, at the latest after `ms`. */
  | { kind: "wait"; ms: number; reason: string }
  | { kind: "refuse"; code: RefusalCode; reason: string; retryAfterMs: number };
