import type { RenewParams } from "./renew_params.ts";

/**
 * Serializes the part of a report that requires a new plan when it changes.
 * Loads and demands are left out: they change with each report, and the next
 * regular plan uses them.
 *
 * @param report - a router's report
 * @returns a text that differs from that of the previous report if a new plan
 * is needed
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
    report.ended.map(({ service, upstream, epoch }) => [
      service,
      upstream,
      epoch,
    ]),
    report.upstreams.map(({ service, upstream, state }) => [
      service,
      upstream,
      state,
    ]),
  ]);
}
