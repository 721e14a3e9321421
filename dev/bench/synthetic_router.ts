import type { RenewGrant } from "../../src/regions/renew_grant.ts";
import type { RenewParams } from "../../src/regions/renew_params.ts";

/** Generates the reports of one router with constant upstreams and demand. */
export class SyntheticRouter {
  #report: RenewParams;

  /**
   * @param report - first report
   */
  constructor(report: RenewParams) {
    this.#report = report;
  }

  /**
   * @returns the next report
   */
  next(): RenewParams {
    this.#report = { ...this.#report, seq: this.#report.seq + 1 };
    return this.#report;
  }

  /**
   * Applies the coordinator's answer to the latest report.
   *
   * @param grant - answer of the coordinator
   */
  apply(grant: RenewGrant): void {
    const shares = new Map(grant.shares.map((item) => [item.entry, item]));
    const previousStates = new Map(
      this.#report.upstreams.map((item) => [item.upstream, item]),
    );
    this.#report = {
      ...this.#report,
      answeredSeq: this.#report.seq,
      coordinatorEpoch: grant.coordinatorEpoch,
      rows: {
        ...this.#report.rows,
        ...Object.fromEntries(
          grant.rows.map(({ revision, row }) => [row.service, revision]),
        ),
      },
      tenures: grant.tenures.map(({ service, upstream, epoch }) => ({
        service,
        upstream,
        epoch,
      })),
      upstreams: grant.tenures.map(({ service, upstream }) =>
        previousStates.get(upstream) ?? {
          service,
          upstream,
          state: "warm",
          inFlight: 0,
          queued: 0,
          serviceMs: 4.125,
          ratePerS: 0,
        }
      ),
      released: grant.releases.flatMap(({ service, upstream, units }) =>
        units.map((unit) => ({ service, upstream, unit, readyInMs: 0 }))
      ),
      ended: grant.endTenures.flatMap(({ service, upstream }) =>
        grant.tenures.filter((item) => item.upstream === upstream)
          .map(({ epoch }) => ({ service, upstream, epoch }))
      ),
      limits: this.#report.limits.map((item) => ({
        ...item,
        heldRatePerS: shares.get(item.entry)?.ratePerS ?? 0,
        heldConcurrency: shares.get(item.entry)?.concurrency ?? 0,
      })),
    };
  }
}
