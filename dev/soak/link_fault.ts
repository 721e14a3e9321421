/** Fault that a `LoopbackProxy` applies to its connections. */
export type LinkFault =
  | { kind: "none" }
  /** Delays all data by `ms` milliseconds. */
  | { kind: "delayed"; ms: number }
  /** Holds back all data until the fault ends. */
  | { kind: "silent" }
  /** Holds back data from the target until the fault ends. */
  | { kind: "one_way" }
  /** Resets open connections, and each new connection when it is accepted. */
  | { kind: "reset" };
