import type { Row } from "./row.ts";

/** One entry of a table's change feed. */
export type RowChange =
  | { kind: "written"; row: Row }
  | { kind: "removed"; key: string; version: number };
