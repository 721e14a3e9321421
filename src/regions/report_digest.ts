import type { RenewParams } from "./renew_params.ts";

/**
 * The part of a report that a plan must take up at once. Loads and demands are
 * left out: they change with each report, and the next regular plan sees them.
 *
 * @param report - a router's report
 * @returns equal texts for reports that need no new plan
 */
export function reportDigest(report: RenewParams): string {
  return JSON.stringify([
    report.incarnation,
    report.coordinatorEpoch,
    report.leaving,
    report.tenures,
    report.released.map(({ service, upstream, unit }) => [
      service,
      upstream,
      unit,
    ]),
    report.ended,
    report.upstreams.map(({ service, upstream, state }) => [
      service,
      upstream,
      state,
    ]),
  ]);
}
