import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.8,
  1.5,
  3,
  6,
];

const LEAVING_BUCKETS_S = [0.5, 1, 1.5, 2, 2.5, 3, 4];
const DELAY_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2];

/** Metrics of a VM, in the Prometheus text format. */
export class DirectMetrics {
  readonly registry = new Registry();
  /** Callers' requests by service and outcome. */
  readonly requests = new Counter({
    name: "fescuerun_requests_total",
    help: "Requests of callers, by service and outcome.",
    labelNames: ["service", "outcome"] as const,
    registers: [this.registry],
  });
  /** Seconds from the arrival of a request's headers to its outcome. */
  readonly latency = new Histogram({
    name: "fescuerun_request_seconds",
    help: "Time from the whole request to its outcome.",
    labelNames: ["service"] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  /** Attempts at upstreams by service and result. */
  readonly attempts = new Counter({
    name: "fescuerun_upstream_attempts_total",
    help: "Requests sent to upstreams, by service and result.",
    labelNames: ["service", "result"] as const,
    registers: [this.registry],
  });
  /** Requests to upstreams that were known to leave, by service. */
  readonly leavingSends = new Histogram({
    name: "fescuerun_leaving_upstream_send_seconds",
    help:
      "Time for which an upstream had been known to leave when a request was sent to it.",
    labelNames: ["service"] as const,
    buckets: LEAVING_BUCKETS_S,
    registers: [this.registry],
  });
  /** How late the periodic tasks of the process ran. */
  readonly processDelay = new Histogram({
    name: "fescuerun_process_delay_seconds",
    help: "Time by which the periodic tasks of the process ran late.",
    buckets: DELAY_BUCKETS_S,
    registers: [this.registry],
  });
  /** Attempts by service and distance of the upstream. */
  readonly attemptDistances = new Counter({
    name: "fescuerun_upstream_distances_total",
    help: "Requests sent to upstreams, by service and distance.",
    labelNames: ["service", "distance"] as const,
    registers: [this.registry],
  });
  /** Load of the VM's own failure domain, as the VMs share it. */
  readonly domainPressure = new Gauge({
    name: "fescuerun_domain_requests_per_slot",
    help: "Requests in flight per slot in the VM's own failure domain.",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });
  /** What should leave the VM's own failure domain. */
  readonly domainLeaveShare = new Gauge({
    name: "fescuerun_domain_leave_share",
    help: "Share of requests that should leave the VM's failure domain.",
    labelNames: ["service"] as const,
    registers: [this.registry],
  });
  /** Grants and releases of keys by kind and result. */
  readonly orders = new Counter({
    name: "fescuerun_key_orders_total",
    help: "Grants and releases of keys, by result.",
    labelNames: ["order", "result"] as const,
    registers: [this.registry],
  });
  /** Whether this VM is the leader, which assigns key ranges. */
  readonly isLeader = new Gauge({
    name: "fescuerun_range_keeper",
    help: "1 on the VM that assigns key ranges.",
    registers: [this.registry],
  });
  /** Requests whose bodies were not read to their end, by reason. */
  readonly refusedBodies = new Counter({
    name: "fescuerun_refused_bodies_total",
    help: "Requests refused while their bodies were read, by reason.",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });
  /** Clients that were refused or closed because of a limit, by reason. */
  readonly limitedClients = new Counter({
    name: "fescuerun_limited_clients_total",
    help: "Clients refused or closed because of a limit, by reason.",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });
  /** Memory that clients hold, by estimate. */
  readonly clientMemory: Gauge & { collect?: () => void } = new Gauge({
    name: "fescuerun_client_memory_bytes",
    help: "Estimated memory that requests and connections of clients hold.",
    registers: [this.registry],
  });
  /** Parts of the newest configuration that are not in use. */
  readonly configProblems = new Gauge({
    name: "fescuerun_config_problems",
    help:
      "Parts of the newest configuration that cannot be used; 1 if it has no usable part.",
    registers: [this.registry],
  });
  /** Time since each followed table was last known to be current. */
  readonly tableAge = new Gauge({
    name: "fescuerun_table_age_seconds",
    help: "Time since the known rows of a table were last known to be current.",
    labelNames: ["table"] as const,
    registers: [this.registry],
  });
  /** How often the store was restored from an older copy. */
  readonly storeRestores = new Counter({
    name: "fescuerun_store_restores_total",
    help: "Restores of the store from an older copy that this VM has noticed.",
    registers: [this.registry],
  });
  /** How often a table exceeded the time in which changes must be in force. */
  readonly overdueTables = new Counter({
    name: "fescuerun_tables_overdue_total",
    help:
      "Times at which a table became older than the time in which changes must be in force.",
    labelNames: ["table"] as const,
    registers: [this.registry],
  });
  /** Rows of the store that cannot be used, by table. */
  readonly invalidRows = new Counter({
    name: "fescuerun_invalid_rows_total",
    help: "Rows of the store that could not be used when they were read.",
    labelNames: ["table"] as const,
    registers: [this.registry],
  });
  /** Errors that ended one task or request and nothing else, by place. */
  readonly unexpectedErrors = new Counter({
    name: "fescuerun_unexpected_errors_total",
    help: "Unexpected errors that did not end the process, by place.",
    labelNames: ["place"] as const,
    registers: [this.registry],
  });
  /** Requests refused because of the limit of their tenant, by reason. */
  readonly limitedRequests = new Counter({
    name: "fescuerun_limited_requests_total",
    help:
      "Requests refused because of their tenant's limit, by reason: used_up, or no_tokens if no holder gave tokens in time.",
    labelNames: ["reason"] as const,
    registers: [this.registry],
  });
  /** Requests of this VM to token holders, by result. */
  readonly tokenRequests = new Counter({
    name: "fescuerun_token_requests_total",
    help: "Requests to holders of tenants' tokens, by result.",
    labelNames: ["result"] as const,
    registers: [this.registry],
  });
  /** Log lines that were dropped. */
  readonly droppedLogLines = new Counter({
    name: "fescuerun_log_lines_dropped_total",
    help: "Log lines left out because of the rate limit or a slow reader.",
    registers: [this.registry],
  });
}
