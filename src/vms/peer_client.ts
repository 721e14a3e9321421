import type { ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { PeerError } from "./peer_error.ts";

/** Makes JSON-RPC calls to the peer listeners of other routers. */
export interface PeerClient {
  /**
   * @param call - `peerUrl` of the called router, method and parameters,
   * `result` the schema that the answer must match, `timeoutMs` the time limit
   * for the answer in milliseconds
   * @param signal - aborts the call
   * @returns the validated answer, or why the call failed
   */
  call<Schema extends z.ZodType>(
    call: {
      peerUrl: string;
      method: string;
      params: unknown;
      result: Schema;
      timeoutMs: number;
    },
    signal: AbortSignal,
  ): ResultAsync<z.infer<Schema>, PeerError>;
}
