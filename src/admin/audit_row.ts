import { z } from "zod";

/** Row `audit/<time>-<random>`: one change or refused attempt. */
export const AuditRow = z.looseObject({
  schema: z.literal(1),
  /** Wall-clock time of the router that wrote the row, ISO 8601. */
  at: z.string(),
  /** Name of the operator, or `unknown` without a valid credential. */
  actor: z.string(),
  action: z.string(),
  vm: z.string(),
  fromVersion: z.int().nonnegative(),
  toVersion: z.int().nonnegative(),
  outcome: z.enum(["committed", "conflict", "refused", "unknown"]),
  details: z.record(z.string(), z.unknown()),
});
export type AuditRow = z.infer<typeof AuditRow>;
