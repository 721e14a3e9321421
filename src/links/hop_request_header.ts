import { z } from "zod";
import { HOP_HEADER } from "./hop_header.ts";

const MAX_DEADLINE_MS = 600_000;
const MAX_NAME_LENGTH = 253;

const Count = z.string().regex(/^\d{1,15}$/).transform(Number);
const Id = z.string().min(1).max(MAX_NAME_LENGTH);

/** The headers that a router adds to a request over a peer hop. */
export const HopRequestHeader = z.object({
  [HOP_HEADER.requestId]: Id,
  [HOP_HEADER.entry]: Id,
  [HOP_HEADER.service]: Id,
  [HOP_HEADER.upstream]: Id,
  [HOP_HEADER.digest]: z.string().regex(/^[0-9a-f]{16}$/).optional(),
  [HOP_HEADER.rowRevision]: Count,
  [HOP_HEADER.deadlineMs]: Count.pipe(z.number().max(MAX_DEADLINE_MS)),
});
export type HopRequestHeader = z.infer<typeof HopRequestHeader>;
