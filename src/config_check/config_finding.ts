/** What is wrong with one entry of a configuration. */
export type ConfigFinding = {
  /**
   * `error`: requests are refused or served otherwise than the entry says.
   * `warning`: the entry has no effect, or contradicts another.
   */
  severity: "error" | "warning";
  /** Kind and name of the entry. */
  entry: string;
  message: string;
};
