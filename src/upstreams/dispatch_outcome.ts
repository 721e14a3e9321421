import type { Readable } from "node:stream";
import type { Refusal } from "../base/refusal.ts";

/** Result of one attempt to have an upstream serve a request. */
export type DispatchOutcome =
  | {
    kind: "response";
    status: number;
    headers: Record<string, string | string[]>;
    /** Fails with an error if the upstream's answer is truncated. */
    body: Readable;
    /** The dispatcher's estimated wait for this upstream, in milliseconds. */
    waitMs: number;
  }
  | { kind: "refused"; refusal: Refusal };
