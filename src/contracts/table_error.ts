/**
 * `unavailable`: nothing was applied. `unknown`: the answer was lost, the
 * transaction may have been applied.
 */
export type TableError =
  | { kind: "unavailable"; message: string }
  | { kind: "unknown"; message: string };
