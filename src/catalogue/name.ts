import { z } from "zod";

/** Name of an entry, service, region, failure domain or VM. */
export const Name = z.string().regex(
  /^[a-z0-9][a-z0-9_.-]{0,62}$/,
  "must be 1 to 63 characters of a-z, 0-9, '_', '.', '-'",
);
export type Name = z.infer<typeof Name>;
