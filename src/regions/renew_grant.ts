import type { RenewResult } from "./renew_result.ts";

/** The answer of a coordinator that renewed a router's dispatch lease. */
export type RenewGrant = Extract<RenewResult, { kind: "granted" }>;
