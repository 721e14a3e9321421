import type { AssignmentRow } from "../shards/assignment_row.ts";
import type { RegionService } from "./region_service.ts";
import type { UpstreamFacts } from "./upstream_facts.ts";

/** Input of the plan for one service besides the service's own state. */
export type ServicePlanInput = {
  now: number;
  region: string;
  epoch: number;
  writeId: string;
  scope: RegionService;
  upstreams: readonly UpstreamFacts[];
  /** Weight of each upstream, by id; 1 if it is absent. */
  weights: ReadonlyMap<string, number>;
  /** Maximum number of shards of each upstream that warms up, by id. */
  caps: ReadonlyMap<string, number>;
  hotKeys: readonly { digest: string; ratePerS: number }[];
  /** Router process that is to dispatch to each upstream, by id. */
  dispatchers: ReadonlyMap<string, { vm: string; incarnation: string }>;
  /** Rows of the same service in other regions; revision 0 if absent. */
  otherRegionRows: readonly {
    key: string;
    revision: number;
    row: AssignmentRow | undefined;
  }[];
};
