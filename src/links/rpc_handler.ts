import type { z } from "zod";

/** Handler of one JSON-RPC method of the peer listener. */
export type RpcHandler = {
  method: string;
  /** Schema of the parameters; a mismatch is answered with error -32602. */
  params: z.ZodType;
  /**
   * @param params - parameters that matched the schema
   * @param signal - aborted when the caller disconnects or this router stops
   * @returns the result
   */
  handle(params: unknown, signal: AbortSignal): Promise<unknown>;
};
