/** How rows reached this VM. */
export type RowOrigin = {
  source: "feed" | "relay" | "whole_read";
  /**
   * Milliseconds since the rows before these were last known to be current,
   * which is the longest time for which these may have been stored. Infinity
   * for the first rows.
   */
  latenessMs: number;
};
