import type { ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { PeerError } from "./peer_error.ts";

/** JSON-RPC calls to the peer listener of other routers. */
export interface PeerClient {
  /**
   * @param call - `peerUrl` of the called router, method and parameters,
   * `result` the schema that the answer must match, `timeoutMs` the longest
   * wait for the answer
   * @param signal - gives up waiting
   * @returns the checked answer, or why there is none
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
