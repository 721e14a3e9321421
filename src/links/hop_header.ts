/** Names of the headers between routers, to upstreams and to callers. */
export const HOP_HEADER = {
  requestId: "fescuerun-request-id",
  entry: "fescuerun-entry",
  service: "fescuerun-service",
  upstream: "fescuerun-upstream",
  digest: "fescuerun-digest",
  rowRevision: "fescuerun-row-revision",
  /** Remaining time in milliseconds, because clocks of VMs are not compared. */
  deadlineMs: "fescuerun-deadline-ms",
  refusal: "fescuerun-refusal",
  outcome: "fescuerun-outcome",
  waitMs: "fescuerun-wait-ms",
  credential: "fescuerun-peer-credential",
  unit: "fescuerun-unit",
  epoch: "fescuerun-epoch",
  boot: "fescuerun-boot",
  state: "fescuerun-state",
  notRun: "fescuerun-not-run",
} as const;
