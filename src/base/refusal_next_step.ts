import type { RefusalCode } from "./refusal_code.ts";

/** What a refused caller should do next; sent as `next` in the answer. */
export const REFUSAL_NEXT_STEP: Readonly<Record<RefusalCode, string>> = {
  unknown_entry: "corrects host and path",
  unknown_credential: "sends one valid API key",
  missing_key: "sends the key where the entry expects it",
  bad_key: "sends one key that is not empty and not too long",
  body_too_large: "sends less than `data.maxBodyBytes`",
  slow_sender: "sends without pauses",
  headers_too_large: "sends smaller headers",
  wrong_region: "goes to a region in `data.homeRegions`",
  limit_exceeded: "repeats later and more slowly",
  queue_full: "repeats with a growing pause",
  overloaded: "repeats with a growing pause",
  upstream_unavailable: "repeats with a growing pause",
  router_not_current: "repeats; the load balancer chooses another router",
  draining: "repeats",
  not_owner: "repeats with a growing pause",
  not_dispatcher: "never sees it; between routers only",
  deadline_exceeded: "repeats if `not_run` or idempotent",
  upstream_failed:
    "finds out whether the request ran before repeating a non-idempotent one",
};
