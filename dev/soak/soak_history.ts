import type { UpstreamEvent } from "../../platform/standins/upstream_event.ts";
import type { SoakCall } from "./soak_call.ts";

type Span = { from: number; to: number };

/** What one run has shown; times of the computer's clock. */
export type SoakHistory = {
  calls: readonly SoakCall[];
  /** What each upstream process has done, and when it was killed. */
  upstreams: readonly {
    name: string;
    events: readonly UpstreamEvent[];
    killedAt: number | undefined;
  }[];
  /** Versions of the configuration that routers were found to go by. */
  probes: readonly {
    router: number;
    run: number;
    version: number;
    sentAt: number;
    endedAt: number;
  }[];
  /** Faults; planned work is not among them. */
  faults: readonly Span[];
  /** Planned stops of routers. */
  stops: readonly (Span & { router: number; run: number })[];
};
