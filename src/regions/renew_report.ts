import type { RenewParams } from "./renew_params.ts";

/** The part of `dispatch.renew` that the dispatchers of a router supply. */
export type RenewReport = Pick<
  RenewParams,
  "tenures" | "released" | "ended" | "upstreams" | "hotKeys"
>;
