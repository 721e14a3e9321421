/**
 * One event of a schedule. A router is given by its index, modulo the number of
 * routers.
 */
export type SimulationAction =
  | { kind: "wait"; ms: number }
  | { kind: "storeDown"; on: boolean }
  | { kind: "storeDelay"; ms: number }
  | { kind: "disconnectStore"; router: number; on: boolean }
  | { kind: "loseAnswers"; router: number; on: boolean }
  | { kind: "disconnectPeers"; router: number; other: number; on: boolean }
  /**
   * Disconnects the routers whose bits are set from the store and from the
   * other routers.
   */
  | { kind: "partition"; routerBits: number }
  | { kind: "pause"; router: number; on: boolean }
  | { kind: "kill"; router: number }
  | { kind: "stop"; router: number }
  /** Kills the process and removes its VM from the VM list. */
  | { kind: "replace"; router: number }
  | { kind: "start"; router: number }
  | { kind: "stepWallClock"; router: number; ms: number }
  | { kind: "changeCatalogue" };
