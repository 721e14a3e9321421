import type { CoordinatorRow } from "./coordinator_row.ts";

/** The row of a coordinator lease, as one read has shown it. */
export type LeaseRead = {
  /** Monotonic milliseconds. */
  sentAt: number;
  receivedAt: number;
  revision: number;
  /** Undefined when the row is absent. */
  row: CoordinatorRow | undefined;
};
