import type { LinkFault } from "./link_fault.ts";

/** One fault, or one change that operators make. */
export type SoakFault =
  | { kind: "router_pause"; router: number; forMs: number }
  | { kind: "router_kill"; router: number; forMs: number }
  | { kind: "router_stop"; router: number; forMs: number }
  | { kind: "router_reload"; router: number }
  | { kind: "upstream_pause"; upstream: number; forMs: number }
  | { kind: "upstream_kill"; upstream: number; forMs: number; sameId: boolean }
  | { kind: "upstream_drain"; upstream: number; forMs: number }
  | { kind: "late_orders"; upstream: number; lateMs: number; forMs: number }
  | { kind: "forgotten_connections"; afterMs: number; forMs: number }
  | { kind: "store_link"; router: number; fault: LinkFault; forMs: number }
  | {
    kind: "upstream_link";
    upstream: number;
    fault: LinkFault;
    forMs: number;
  }
  | {
    kind: "store";
    fault: "busy" | "many" | "reset" | "silent" | "lost";
    forMs: number;
  }
  | { kind: "history_lost" }
  | { kind: "config_change" };
