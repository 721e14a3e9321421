/** Exit codes of the command line; scripts may rely on them. */
export const EXIT_CODE = {
  /** The command did what was asked. */
  done: 0,
  /** A fault of the program or an answer that it does not understand. */
  unexpected: 1,
  /** Wrong usage, or a settings or catalogue file that is not valid. */
  usage: 2,
  /** Refused: credential, unknown name, last failure domain of a region. */
  refused: 3,
  /** Another change came first; nothing was changed. */
  conflict: 4,
  /** The router cannot be reached, or the table service is unavailable. */
  unavailable: 5,
  /** Committed for good, but not in force on every router in time. */
  committedNotYetInForce: 6,
} as const;
