/**
 * Why a call to another router failed: the HTTP exchange failed or the call was
 * aborted (`unreachable`), no answer arrived in time (`timeout`), the request
 * or the answer was too large or the answer invalid (`malformed`), or the
 * router returned a JSON-RPC error (`rejected`).
 */
export type PeerError =
  | { kind: "unreachable"; message: string }
  | { kind: "timeout"; message: string }
  | { kind: "malformed"; message: string }
  | { kind: "rejected"; code: number; message: string };
