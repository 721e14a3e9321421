import { z } from "zod";

/** Why the administration interface refused a request or failed. */
export const AdminCode = z.enum([
  "bad_request",
  "body_too_large",
  "unauthorized",
  "not_found",
  "no_catalogue",
  "invalid_catalogue",
  "conflict",
  "unknown_name",
  "last_domain_in_region",
  "router_not_current",
  "unavailable",
  "outcome_unknown",
  "unreadable_record",
  "internal",
]);
export type AdminCode = z.infer<typeof AdminCode>;
