import { z } from "zod";

/** Why the router, and not an upstream, answered a request. */
export const RefusalCode = z.enum([
  "unknown_entry",
  "unknown_credential",
  "missing_key",
  "bad_key",
  "body_too_large",
  "slow_sender",
  "headers_too_large",
  "wrong_region",
  "limit_exceeded",
  "queue_full",
  "overloaded",
  "upstream_unavailable",
  "router_not_current",
  "draining",
  "not_owner",
  "not_dispatcher",
  "deadline_exceeded",
  "upstream_failed",
]);
export type RefusalCode = z.infer<typeof RefusalCode>;
