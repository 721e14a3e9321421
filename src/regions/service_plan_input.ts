import type { AssignmentRow } from "../shards/assignment_row.ts";
import type { RegionService } from "./region_service.ts";
import type { UpstreamFacts } from "./upstream_facts.ts";

/** What the plan for one service depends on besides its own state. */
export type ServicePlanInput = {
  now: number;
  region: string;
  epoch: number;
  writeId: string;
  scope: RegionService;
  upstreams: readonly UpstreamFacts[];
  /** Weight of each upstream, 1 if it is not named. */
  weights: ReadonlyMap<string, number>;
  /** Most shards of each upstream that warms up. */
  caps: ReadonlyMap<string, number>;
  hotKeys: readonly { digest: string; ratePerS: number }[];
  /** Router process that is to dispatch for each upstream. */
  dispatchers: ReadonlyMap<string, { vm: string; incarnation: string }>;
  /** Rows of the same service in other regions; revision 0 is no row. */
  otherRegionRows: readonly {
    key: string;
    revision: number;
    row: AssignmentRow | undefined;
  }[];
};
