import type { RefusalCode } from "../base/refusal_code.ts";
import type { Upstream } from "./upstream.ts";

/** Where a request goes next. */
export type Choice =
  | { kind: "send"; upstream: Upstream; expectedMs: number }
  /** Nothing yet, but at the latest after this time there may be. */
  | { kind: "wait"; ms: number; reason: string }
  | { kind: "refuse"; code: RefusalCode; reason: string; retryAfterMs: number };
