import type { RenewParams } from "./renew_params.ts";
import { RouterSession } from "./router_session.ts";

// Time after the end of its lease for which a process is remembered, so that a
// late report does not make it the current process of its VM again.
const SESSION_RETENTION_MS = 60_000;

/** Tracks the router processes that have reported in this coordinator term. */
export class RouterSessions {
  readonly #byProcess = new Map<string, RouterSession>();
  readonly #current = new Map<string, RouterSession>();

  /**
   * Records a report. The process whose first report is the most recent becomes
   * the current one of its VM. An older process of the VM does not become it
   * again within `SESSION_RETENTION_MS` after the end of its lease.
   *
   * @param report - the report
   * @param now - the coordinator's clock
   * @param ttlMs - time in milliseconds for which a new process counts as
   * active without a granted lease
   * @returns the session, and whether the report is the newest of its process
   */
  accept(
    report: RenewParams,
    now: number,
    ttlMs: number,
  ): { session: RouterSession; isNewest: boolean } {
    const key = `${report.vm}/${report.incarnation}`;
    const known = this.#byProcess.get(key);
    if (known !== undefined) {
      const isNewest = report.seq > known.report.seq;
      if (isNewest) known.report = report;
      return { session: known, isNewest };
    }
    this.#removeExpired(now);
    const session = new RouterSession(report, now + ttlMs);
    this.#byProcess.set(key, session);
    this.#current.set(report.vm, session);
    return { session, isNewest: true };
  }

  /**
   * @param vm - the VM's id
   * @returns the current process of the VM
   */
  current(vm: string): RouterSession | undefined {
    return this.#current.get(vm);
  }

  /**
   * @param now - the coordinator's clock
   * @returns the current process of each VM whose lease may be in force, sorted
   * by VM id
   */
  active(now: number): RouterSession[] {
    return [...this.#current.values()]
      .filter((session) => now < session.leaseUntil)
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
  }

  #removeExpired(now: number): void {
    for (const [key, session] of this.#byProcess) {
      if (now < session.leaseUntil + SESSION_RETENTION_MS) continue;
      this.#byProcess.delete(key);
      if (this.#current.get(session.vm) === session) {
        this.#current.delete(session.vm);
      }
    }
  }
}
