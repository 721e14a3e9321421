import type { RefusalCode } from "./refusal_code.ts";

/** HTTP status of each refusal code. */
export const REFUSAL_STATUS: Readonly<Record<RefusalCode, number>> = {
  unknown_entry: 404,
  unknown_credential: 401,
  missing_key: 400,
  bad_key: 400,
  body_too_large: 413,
  slow_sender: 408,
  headers_too_large: 431,
  wrong_region: 421,
  limit_exceeded: 429,
  queue_full: 503,
  overloaded: 503,
  upstream_unavailable: 503,
  router_not_current: 503,
  draining: 503,
  not_owner: 503,
  not_dispatcher: 503,
  deadline_exceeded: 504,
  upstream_failed: 502,
};
