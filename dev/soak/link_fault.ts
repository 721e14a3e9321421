/** What a loopback proxy does to the connections that run through it. */
export type LinkFault =
  | { kind: "none" }
  | { kind: "delayed"; ms: number }
  /** Nothing passes. What was sent arrives when the fault ends. */
  | { kind: "silent" }
  /** Nothing passes back. */
  | { kind: "one_way" }
  /** Open connections are reset once, new ones as they come. */
  | { kind: "reset" };
