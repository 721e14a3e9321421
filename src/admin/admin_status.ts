import type { AdminCode } from "./admin_code.ts";

/** HTTP status of each code of the administration interface. */
export const ADMIN_STATUS = {
  bad_request: 400,
  body_too_large: 413,
  unauthorized: 401,
  not_found: 404,
  no_catalogue: 404,
  invalid_catalogue: 422,
  conflict: 409,
  unknown_name: 404,
  last_domain_in_region: 409,
  router_not_current: 503,
  unavailable: 503,
  outcome_unknown: 504,
  unreadable_record: 500,
  internal: 500,
} as const satisfies Readonly<Record<AdminCode, number>>;
