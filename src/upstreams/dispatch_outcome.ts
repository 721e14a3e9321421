import type { Readable } from "node:stream";
import type { Refusal } from "../base/refusal.ts";

/** What became of one attempt to have an upstream serve a request. */
export type DispatchOutcome =
  | {
    kind: "response";
    status: number;
    headers: Record<string, string | string[]>;
    /** Ends with an error when the upstream's answer was cut short. */
    body: Readable;
    /** The dispatcher's estimate of the wait for this upstream. */
    waitMs: number;
  }
  | { kind: "refused"; refusal: Refusal };
