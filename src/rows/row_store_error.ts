/** Reason for which a call to a row store has no result. */
export type RowStoreError =
  /** The call had no effect. */
  | { kind: "unavailable"; message: string }
  /** The call may have taken effect, or may still do so. */
  | { kind: "unknown"; message: string }
  /** The changes since the given version are no longer kept. */
  | { kind: "history_lost"; message: string };
