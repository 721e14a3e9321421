import type { RenewParams } from "./renew_params.ts";
import { RouterSession } from "./router_session.ts";

const FORGET_AFTER_MS = 60_000;

/** The router processes that have reported in this term. */
export class RouterSessions {
  readonly #byProcess = new Map<string, RouterSession>();
  readonly #current = new Map<string, RouterSession>();

  /**
   * Takes in a report. The process that reported first most recently stands
   * for its VM; an older one on the same VM is never chosen again.
   *
   * @param report - the report
   * @param now - the coordinator's clock
   * @param ttlMs - time for which a silent router counts as alive
   * @returns the session, and whether the report is the newest of its process
   */
  accept(
    report: RenewParams,
    now: number,
    ttlMs: number,
  ): { session: RouterSession; fresh: boolean } {
    const key = `${report.vm}/${report.incarnation}`;
    const known = this.#byProcess.get(key);
    if (known !== undefined) {
      const fresh = report.seq > known.report.seq;
      if (fresh) known.report = report;
      return { session: known, fresh };
    }
    this.#forget(now);
    const session = new RouterSession(report, now + ttlMs);
    this.#byProcess.set(key, session);
    this.#current.set(report.vm, session);
    return { session, fresh: true };
  }

  /**
   * @param vm - the VM's id
   * @returns the process that stands for the VM
   */
  current(vm: string): RouterSession | undefined {
    return this.#current.get(vm);
  }

  /**
   * @param now - the coordinator's clock
   * @returns one process for each VM whose lease may be in force, by VM id
   */
  alive(now: number): RouterSession[] {
    return [...this.#current.values()]
      .filter((session) => now < session.leaseUntil)
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
  }

  #forget(now: number): void {
    for (const [key, session] of this.#byProcess) {
      if (now < session.leaseUntil + FORGET_AFTER_MS) continue;
      this.#byProcess.delete(key);
      if (this.#current.get(session.vm) === session) {
        this.#current.delete(session.vm);
      }
    }
  }
}
