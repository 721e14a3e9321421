import type { AdminCode } from "../admin/admin_code.ts";
import { EXIT_CODE } from "./exit_code.ts";

/** Exit code for each code of the administration interface. */
export const EXIT_CODE_BY_ADMIN_CODE: Readonly<Record<AdminCode, number>> = {
  bad_request: EXIT_CODE.usage,
  body_too_large: EXIT_CODE.usage,
  invalid_catalogue: EXIT_CODE.usage,
  unauthorized: EXIT_CODE.refused,
  not_found: EXIT_CODE.refused,
  no_catalogue: EXIT_CODE.refused,
  unknown_name: EXIT_CODE.refused,
  last_domain_in_region: EXIT_CODE.refused,
  conflict: EXIT_CODE.conflict,
  router_not_current: EXIT_CODE.unavailable,
  unavailable: EXIT_CODE.unavailable,
  outcome_unknown: EXIT_CODE.unavailable,
  unreadable_record: EXIT_CODE.unexpected,
  internal: EXIT_CODE.unexpected,
};
