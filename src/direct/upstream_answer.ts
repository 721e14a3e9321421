import type { LoadReport } from "./load_report.ts";

/** Contents of the status and headers of an upstream's answer. */
export type UpstreamAnswer = {
  /** Whether the upstream has not run the request and never will. */
  notExecuted: boolean;
  /** Whether another upstream answered, or one that does not own the key. */
  misdirected: boolean;
  /** Whether the address now belongs to another upstream. */
  otherInstance: boolean;
  /** Whether the answer names this request, another one, or none. */
  identity: "same" | "other" | "absent";
  /** Whether the answer carries the signature of the upstream's application. */
  signed: boolean;
  /** Whether the upstream says that it is leaving. */
  leaving: boolean;
  /**
   * Milliseconds for which the upstream wants no further request from this VM;
   * undefined if it asks for no pause.
   */
  pauseMs: number | undefined;
  /** Reported load, if any. */
  load: LoadReport | undefined;
};
