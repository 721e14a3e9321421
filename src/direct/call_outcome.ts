import type { Refusal } from "../base/refusal.ts";

/** How a caller's request ends. */
export type CallOutcome =
  | {
    kind: "answered";
    status: number;
    headers: Record<string, string | string[]>;
    body: Uint8Array;
    /** Whether it is certain that the body is whole. */
    framed: boolean;
  }
  | { kind: "refused"; refusal: Refusal; retryAfterMs: number | undefined }
  /** The caller has left. */
  | { kind: "gone" };
