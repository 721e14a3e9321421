import type { RenewParams } from "./renew_params.ts";

/** One router process that reports to this coordinator. */
export class RouterSession {
  readonly vm: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Newest report of the process. */
  report: RenewParams;
  /** Latest end of the router's dispatch lease, on the coordinator's clock. */
  leaseUntil: number;
  /**
   * Last answer: `seq` of its report, and its content without rows and shares.
   */
  answered: { seq: number; content: string } | undefined;

  /**
   * @param report - first report of the process
   * @param leaseUntil - time until which the process counts as active without a
   * granted lease, on the coordinator's clock
   */
  constructor(report: RenewParams, leaseUntil: number) {
    this.vm = report.vm;
    this.incarnation = report.incarnation;
    this.failureDomain = report.failureDomain;
    this.report = report;
    this.leaseUntil = leaseUntil;
  }
}
