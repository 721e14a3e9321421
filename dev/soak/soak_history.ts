import type { UpstreamEvent } from "../../platform/standins/upstream_event.ts";
import type { SoakCall } from "./soak_call.ts";

/** Start and end, in milliseconds of the host's clock. */
type Period = { from: number; to: number };

/** What one soak run recorded; times of the host's clock, in milliseconds. */
export type SoakHistory = {
  calls: readonly SoakCall[];
  /** Events of each upstream process, and when the process ended. */
  upstreams: readonly {
    name: string;
    events: readonly UpstreamEvent[];
    endedAt: number | undefined;
  }[];
  /** Requests that showed which configuration version a router uses. */
  probes: readonly {
    router: number;
    incarnation: number;
    version: number;
    sentAt: number;
    endedAt: number;
  }[];
  /** Faults, without planned work. */
  faults: readonly Period[];
  /** Planned stops of routers. */
  stops: readonly (Period & { router: number; incarnation: number })[];
};
