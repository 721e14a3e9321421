import type { RenewParams } from "./renew_params.ts";

/** One router process that reports to this coordinator. */
export class RouterSession {
  readonly vm: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Newest report. */
  report: RenewParams;
  /** Latest end of the router's dispatch lease, on the coordinator's clock. */
  leaseUntil: number;
  /** The last answer: the report it belongs to and its main content. */
  answered: { seq: number; content: string } | undefined;

  /**
   * @param report - first report of the process
   * @param leaseUntil - end of the time for which it counts as alive
   */
  constructor(report: RenewParams, leaseUntil: number) {
    this.vm = report.vm;
    this.incarnation = report.incarnation;
    this.failureDomain = report.failureDomain;
    this.report = report;
    this.leaseUntil = leaseUntil;
  }
}
