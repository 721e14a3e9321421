import type { Refusal } from "../base/refusal.ts";

/** How a caller's request ended. */
export type CallOutcome =
  | {
    kind: "answered";
    status: number;
    headers: Record<string, string | string[]>;
    body: Uint8Array;
    /** Whether the body is known to be complete. */
    framed: boolean;
  }
  | { kind: "refused"; refusal: Refusal; retryAfterMs: number | undefined }
  /** The caller disconnected. */
  | { kind: "gone" };
