import { RenewParams } from "../../src/regions/renew_params.ts";

/** A report of a router that holds nothing, with the given fields changed. */
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
