/** Why a call to a row store has no result. */
export type RowStoreError =
  /** Nothing was done. */
  | { kind: "unavailable"; message: string }
  /** The call may have been done, or may still be done. */
  | { kind: "unknown"; message: string }
  /** The changes since the given version are no longer kept. */
  | { kind: "history_lost"; message: string };
