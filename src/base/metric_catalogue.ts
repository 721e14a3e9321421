import { RefusalCode } from "./refusal_code.ts";

type Metric = {
  kind: "counter" | "gauge" | "timing";
  unit: string;
  meaning: string;
};
type RefusedCounters = Record<
  `refused.${RefusalCode}`,
  Metric & { kind: "counter" }
>;

// The refusal code is part of the name: the only tags are service and region.
const REFUSED_COUNTERS = Object.fromEntries(
  RefusalCode.options.map((code) => [`refused.${code}`, {
    kind: "counter",
    unit: "requests",
    meaning: `callers' requests refused with ${code}`,
  }]),
) as RefusedCounters;

/**
 * Every StatsD metric that a router sends. The names type the `Metrics`
 * interface, and a test compares the table with docs/OPERATIONS.md.
 */
export const METRIC_CATALOGUE = {
  ...REFUSED_COUNTERS,
  "request.answer_ms": {
    kind: "timing",
    unit: "ms",
    meaning: "from the headers of a caller's request to those of its answer",
  },
  "request.outcome_unknown": {
    kind: "counter",
    unit: "requests",
    meaning: "refusals that report outcome_unknown",
  },
  "request.abandoned": {
    kind: "counter",
    unit: "requests",
    meaning: "requests whose caller went away before an answer",
  },
  "retry.taken": {
    kind: "counter",
    unit: "retries",
    meaning: "retries taken from the retry budget",
  },
  "retry.refused": {
    kind: "counter",
    unit: "retries",
    meaning: "retries not made because the retry budget was used up",
  },
  "hold.waits": {
    kind: "counter",
    unit: "waits",
    meaning: "waits of held requests; one request waits several times",
  },
  "hold.refused": {
    kind: "counter",
    unit: "requests",
    meaning: "requests not held because requests.held were held already",
  },
  "hold.held": {
    kind: "gauge",
    unit: "requests",
    meaning: "requests held now",
  },
  "dispatch.answer_ms": {
    kind: "timing",
    unit: "ms",
    meaning:
      "from the arrival of an attempt at the dispatcher to the headers " +
      "of the upstream's answer",
  },
  "dispatch.not_run": {
    kind: "counter",
    unit: "attempts",
    meaning: "attempts that the dispatcher refused with not_run",
  },
  "dispatch.outcome_unknown": {
    kind: "counter",
    unit: "attempts",
    meaning: "attempts that ended with outcome_unknown at the dispatcher",
  },
  "renewal.granted": {
    kind: "counter",
    unit: "renewals",
    meaning: "renewals of the dispatch lease that took effect",
  },
  "renewal.failed": {
    kind: "counter",
    unit: "renewals",
    meaning: "renewals without an answer or refused by the coordinator",
  },
  "store.mode": {
    kind: "gauge",
    unit: "0 starting, 1 current, 2 outage, 3 cut_off",
    meaning: "contact with the table service",
  },
  "catalogue.version": {
    kind: "gauge",
    unit: "version",
    meaning: "catalogue version in force, 0 before the first",
  },
  "coordinator.epoch": {
    kind: "gauge",
    unit: "epoch",
    meaning: "epoch of the coordinator lease on its holder, 0 on the others",
  },
  "assignment.moved": {
    kind: "counter",
    unit: "shards",
    meaning: "shards that lost their owner or got another, counted by the " +
      "coordinator",
  },
  "assignment.unassigned": {
    kind: "gauge",
    unit: "shards",
    meaning: "shards of the region that have no upstream",
  },
  "limit.rate_share": {
    kind: "gauge",
    unit: "requests/s",
    meaning: "shares of the rate limits that the router has, summed over the " +
      "service's entries",
  },
  "limit.concurrency_share": {
    kind: "gauge",
    unit: "requests",
    meaning: "shares of the concurrency limits that the router has, summed " +
      "over the service's entries",
  },
  "upstream.cold": {
    kind: "gauge",
    unit: "upstreams",
    meaning: "upstreams of this dispatcher in cold start",
  },
  "upstream.warm": {
    kind: "gauge",
    unit: "upstreams",
    meaning: "upstreams of this dispatcher that are warm",
  },
  "upstream.draining": {
    kind: "gauge",
    unit: "upstreams",
    meaning: "upstreams of this dispatcher that say that they drain",
  },
  "upstream.lost": {
    kind: "gauge",
    unit: "upstreams",
    meaning: "upstreams of this dispatcher that do not answer",
  },
  "upstream.in_flight": {
    kind: "gauge",
    unit: "requests",
    meaning: "requests that the dispatcher runs at its upstreams",
  },
  "upstream.queued": {
    kind: "gauge",
    unit: "requests",
    meaning: "requests that wait at the dispatcher for its upstreams",
  },
} as const satisfies Readonly<Record<string, Metric>>;
