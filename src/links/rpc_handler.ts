import type { z } from "zod";

/** One JSON-RPC method of the peer listener. */
export type RpcHandler = {
  method: string;
  /** Parameters that do not match are answered with error -32602. */
  params: z.ZodType;
  /**
   * @param params - parameters that matched the schema
   * @param signal - the calling router went away, or this one stops
   * @returns the result
   */
  handle(params: unknown, signal: AbortSignal): Promise<unknown>;
};
