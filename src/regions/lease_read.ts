import type { CoordinatorRow } from "./coordinator_row.ts";

/** Result of one read of a coordinator lease row. */
export type LeaseRead = {
  /** Time at which the request was sent, in monotonic milliseconds. */
  sentAt: number;
  /** Time at which the answer arrived, in monotonic milliseconds. */
  receivedAt: number;
  revision: number;
  /** Undefined when the row is absent. */
  row: CoordinatorRow | undefined;
};
