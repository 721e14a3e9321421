import type { LinkFault } from "./link_fault.ts";

/**
 * One fault, or one planned change by operators. `router` and `upstream` are
 * indexes; `durationMs` is the fault's duration in milliseconds.
 */
export type SoakFault =
  | { kind: "router_pause"; router: number; durationMs: number }
  | { kind: "router_kill"; router: number; durationMs: number }
  | { kind: "router_stop"; router: number; durationMs: number }
  | { kind: "router_reload"; router: number }
  | { kind: "upstream_pause"; upstream: number; durationMs: number }
  /** `sameId`: the next process registers under the id of the killed one. */
  | {
    kind: "upstream_kill";
    upstream: number;
    durationMs: number;
    sameId: boolean;
  }
  | { kind: "upstream_drain"; upstream: number; durationMs: number }
  /** Orders (grants, releases) take effect `delayMs` late and unanswered. */
  | {
    kind: "delayed_orders";
    upstream: number;
    delayMs: number;
    durationMs: number;
  }
  /**
   * All upstreams reset a connection that has been idle for longer than
   * `afterMs` when its next request arrives.
   */
  | { kind: "idle_connection_reset"; afterMs: number; durationMs: number }
  | { kind: "store_link"; router: number; fault: LinkFault; durationMs: number }
  | {
    kind: "upstream_link";
    upstream: number;
    fault: LinkFault;
    durationMs: number;
  }
  | {
    kind: "store";
    fault: "busy" | "many" | "reset" | "silent" | "lost";
    durationMs: number;
  }
  /**
   * The store is away for `durationMs` and comes back with a copy that was taken
   * `copyAgeMs` before.
   */
  | { kind: "store_restore"; copyAgeMs: number; durationMs: number }
  /**
   * The routers and upstreams of a failure domain reach none of the others, and
   * not the store either unless it is reachable.
   */
  | {
    kind: "partition";
    failureDomain: number;
    storeReachable: boolean;
    durationMs: number;
  }
  /** The store discards its change history. */
  | { kind: "history_lost" }
  | { kind: "config_change" };
