import { RenewParams } from "../../src/regions/renew_params.ts";

/**
 * @param vm - the reporting router
 * @param changes - fields that differ from the default
 * @returns the renewal request of a router without dispatch terms
 */
export function regionReport(
  vm: string,
  changes: Partial<RenewParams>,
): RenewParams {
  return RenewParams.parse({
    vm,
    incarnation: `${vm}-1`,
    failureDomain: "east",
    seq: 1,
    answeredSeq: 0,
    coordinatorEpoch: 0,
    rows: {},
    leaving: false,
    tenures: [],
    released: [],
    ended: [],
    upstreams: [],
    hotKeys: [],
    limits: [],
    ...changes,
  });
}
