/** Why an HTTP call with JSON bodies returned no usable answer. */
export type HttpJsonError =
  /** No connection was established: the server has not seen the request. */
  | { kind: "not_sent"; message: string }
  /** The server answered with a status other than 200. */
  | { kind: "status"; status: number; body: unknown; message: string }
  /** The request may have been processed; its answer did not arrive. */
  | { kind: "lost"; message: string }
  /** The answer does not match the contract. */
  | { kind: "malformed"; message: string };
