import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { CatalogueStatus } from "../vms/catalogue_status.ts";
import type { AcceptanceMember } from "./acceptance_member.ts";
import type { CatalogueMembers } from "./catalogue_members.ts";
import { ConcurrencyLimit } from "./task_limit.ts";

/** Pause between two status calls to the same member. */
const POLL_DELAY_MS = 100;
const MAX_CONCURRENT_CALLS = 256;

type Options = {
  version: number;
  members: CatalogueMembers;
  clock: Clock;
  signal: AbortSignal;
};

/**
 * Polls every member for its catalogue version, in one task for each member,
 * until the member confirms the version that is waited for.
 */
export class AcceptancePoller {
  /** Notifies when a member has confirmed the version. */
  readonly changed = new ChangeNotifier();

  readonly #options: Options;
  readonly #callLimit = new ConcurrencyLimit(MAX_CONCURRENT_CALLS);
  readonly #tasks = new Map<string, Promise<void>>();
  readonly #members = new Map<string, AcceptanceMember>();
  /** Incarnation of each member that has confirmed, by VM. */
  readonly #confirmed = new Map<string, string>();
  /** When each member last reported that it serves an older version. */
  readonly #lastOlderReportAt = new Map<string, number>();
  /** Last report of each member that it serves an older one as `current`. */
  readonly #lastOlderReportAsCurrent = new Map<
    string,
    { at: number; incarnation: string }
  >();

  /**
   * @param options - `version` to wait for, `members` to poll, `clock`, and
   * `signal` that ends the tasks
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Starts to poll new members and updates the addresses of the others.
   *
   * @param members - every registered router
   */
  update(members: readonly AcceptanceMember[]): void {
    this.#members.clear();
    for (const member of members) {
      this.#members.set(member.vm, member);
      if (member.reachable !== undefined && !this.#tasks.has(member.vm)) {
        this.#tasks.set(member.vm, this.#pollUntilConfirmed(member.vm));
      }
    }
  }

  /**
   * @param vm - a member
   * @param incarnation - the process that must have confirmed; any by default
   * @returns whether it has put the version, or a newer one, in force
   */
  isConfirmed(vm: string, incarnation?: string): boolean {
    const confirmed = this.#confirmed.get(vm);
    return confirmed !== undefined &&
      (incarnation === undefined || incarnation === confirmed);
  }

  /**
   * @param vm - a member
   * @returns when it last reported that it serves an older version, and its
   * last report that it does so as `current`; times in monotonic milliseconds
   */
  olderVersionReports(vm: string): {
    lastOlderReportAt: number | undefined;
    lastOlderReportAsCurrent: { at: number; incarnation: string } | undefined;
  } {
    return {
      lastOlderReportAt: this.#lastOlderReportAt.get(vm),
      lastOlderReportAsCurrent: this.#lastOlderReportAsCurrent.get(vm),
    };
  }

  /** Resolves when all tasks have ended; the signal must have aborted. */
  async stopped(): Promise<void> {
    await Promise.all(this.#tasks.values());
  }

  async #pollUntilConfirmed(vm: string): Promise<void> {
    const { version, members, clock, signal } = this.#options;
    let notified = false;
    while (!signal.aborted && !this.#confirmed.has(vm)) {
      // Read for each call: a router that was replaced has another address.
      const peerUrl = this.#members.get(vm)?.reachable?.peerUrl;
      if (peerUrl !== undefined) {
        const status = await this.#callLimit.run(async () => {
          if (signal.aborted) return undefined;
          if (!notified) await members.notify(peerUrl, version, signal);
          notified = true;
          return await members.status(peerUrl, version, signal);
        });
        if (status?.vm === vm) this.#recordStatus(status);
      }
      if (!this.#confirmed.has(vm)) await clock.sleep(POLL_DELAY_MS, signal);
    }
  }

  #recordStatus(status: CatalogueStatus): void {
    const { vm, incarnation, mode } = status;
    const at = this.#options.clock.now();
    if (status.version >= this.#options.version) {
      this.#confirmed.set(vm, incarnation);
      this.changed.notify();
    } else if (mode === "current" || mode === "outage") {
      this.#lastOlderReportAt.set(vm, at);
      if (mode === "current") {
        this.#lastOlderReportAsCurrent.set(vm, { at, incarnation });
      }
    }
  }
}
