/** Why a call to another router failed. */
export type PeerError =
  | { kind: "unreachable"; message: string }
  | { kind: "timeout"; message: string }
  | { kind: "malformed"; message: string }
  | { kind: "rejected"; code: number; message: string };
