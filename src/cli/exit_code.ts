/** Exit codes of the command line; scripts may rely on them. */
export const EXIT_CODE = {
  /** The command succeeded. */
  done: 0,
  /** A bug in the program, or an answer that it cannot parse. */
  unexpected: 1,
  /** Wrong usage, or a settings or catalogue file that is not valid. */
  usage: 2,
  /**
   * Refused, e.g. a wrong credential, an unknown name or the last failure
   * domain of a region.
   */
  refused: 3,
  /** Another change was committed first; nothing was changed. */
  conflict: 4,
  /** The router cannot be reached, or the table service is unavailable. */
  unavailable: 5,
  /** Committed permanently, but not in force on every router in time. */
  committedNotYetInForce: 6,
} as const;
