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
  /** Code of a refusal; marks a hop response as a refusal by the router. */
  refusal: "fescuerun-refusal",
  outcome: "fescuerun-outcome",
  /** Estimated wait for the upstream in milliseconds. */
  waitMs: "fescuerun-wait-ms",
  credential: "fescuerun-peer-credential",
  /** Unit of assignment that the request's key belongs to, see `Unit`. */
  unit: "fescuerun-unit",
  /** Epoch of the dispatch term in which the request is sent. */
  epoch: "fescuerun-epoch",
  /** Boot id of the upstream's process, reported with its responses. */
  boot: "fescuerun-boot",
  /** State of the upstream, reported with its responses. */
  state: "fescuerun-state",
  /** Why the upstream did not run the request, e.g. `grant` or `draining`. */
  notRun: "fescuerun-not-run",
} as const;
