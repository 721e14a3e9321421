import { z } from "zod";

/**
 * What is assigned and moved as one: a shard (`shard:17`) or a pinned key
 * (`pin:<digest>`).
 */
export const Unit = z.string().regex(/^(shard:\d{1,6}|pin:[0-9a-f]{16})$/);
export type Unit = z.infer<typeof Unit>;
