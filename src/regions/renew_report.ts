import type { RenewParams } from "./renew_params.ts";

/** The parameters of `dispatch.renew` that a router's dispatchers supply. */
export type RenewReport = Pick<
  RenewParams,
  "tenures" | "released" | "ended" | "upstreams" | "hotKeys"
>;
