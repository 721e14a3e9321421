/** How rows reached this VM. */
export type RowOrigin = {
  source: "feed" | "relay" | "whole_read";
  /**
   * Milliseconds since the rows before these were last known to be current,
   * which is the longest time for which these may have been stored. Infinity
   * for the first rows.
   */
  latenessMs: number;
  /** Era of the store; 0 if absent. */
  era?: number;
  /**
   * Whether the store was restored from an older copy since the rows before
   * these, so that rows may be missing or have an older state.
   */
  restored?: boolean;
};
