/** Applied atomically. All rows lie in one partition of the store. */
export type RowTransaction = {
  /** Versions that rows must have; 0 means that the row does not exist. */
  expect: readonly { table: string; key: string; version: number }[];
  writes: readonly { table: string; key: string; value: Uint8Array }[];
  remove: readonly { table: string; key: string }[];
};
