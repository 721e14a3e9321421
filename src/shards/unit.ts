import { z } from "zod";

/**
 * Unit of assignment, which moves as a whole: a shard (`shard:17`) or a pinned
 * key (`pin:<digest>`).
 */
export const Unit = z.string().regex(/^(shard:\d{1,6}|pin:[0-9a-f]{16})$/);
export type Unit = z.infer<typeof Unit>;
