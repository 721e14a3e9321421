import type { LoadReport } from "./load_report.ts";

/** What the head of an upstream's answer says. */
export type UpstreamAnswer = {
  /** The upstream has not run the request and never will. */
  notExecuted: boolean;
  /** It is not the upstream that was expected, or does not hold the key. */
  misdirected: boolean;
  /** The address belongs to another upstream now. */
  otherInstance: boolean;
  /** Whether the answer names the request that it belongs to, and which. */
  identity: "same" | "other" | "absent";
  /** Whether the upstream's application made the answer. */
  signed: boolean;
  load: LoadReport | undefined;
};
