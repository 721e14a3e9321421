import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { CatalogueStatus } from "../vms/catalogue_status.ts";
import type { AcceptanceMember } from "./acceptance_member.ts";
import type { CatalogueMembers } from "./catalogue_members.ts";
import { TaskLimit } from "./task_limit.ts";

const ASK_PAUSE_MS = 100;
const CALLS_AT_A_TIME = 256;

type Options = {
  version: number;
  members: CatalogueMembers;
  clock: Clock;
  signal: AbortSignal;
};

/** Asks members for their version, one task for each, until they confirm. */
export class AcceptanceWatch {
  /** Notifies when a member has confirmed. */
  readonly changed = new ChangeNotifier();

  readonly #options: Options;
  readonly #limit = new TaskLimit(CALLS_AT_A_TIME);
  readonly #tasks = new Map<string, Promise<void>>();
  readonly #members = new Map<string, AcceptanceMember>();
  /** Incarnation of each member that has confirmed. */
  readonly #confirmed = new Map<string, string>();
  /** When a member last said that it serves an older version. */
  readonly #servedOlderAt = new Map<string, number>();
  readonly #currentWithOlder = new Map<
    string,
    { at: number; incarnation: string }
  >();

  /**
   * @param options - `version` to wait for, `members` to ask, `clock`, and
   * `signal` that ends the tasks
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Starts to ask members that are new and notes changes of the others.
   *
   * @param members - every registered router
   */
  update(members: readonly AcceptanceMember[]): void {
    this.#members.clear();
    for (const member of members) {
      this.#members.set(member.vm, member);
      if (member.reachable !== undefined && !this.#tasks.has(member.vm)) {
        this.#tasks.set(member.vm, this.#ask(member.vm));
      }
    }
  }

  /**
   * @param vm - a member
   * @param incarnation - the process that is meant, any by default
   * @returns whether it has put the version, or a newer one, in force
   */
  isConfirmed(vm: string, incarnation?: string): boolean {
    const confirmed = this.#confirmed.get(vm);
    return confirmed !== undefined &&
      (incarnation === undefined || incarnation === confirmed);
  }

  /**
   * @param vm - a member
   * @returns when it last said that it serves an older version, and its last
   * answer that it does so as `current`
   */
  older(vm: string): {
    servedOlderAt: number | undefined;
    currentWithOlder: { at: number; incarnation: string } | undefined;
  } {
    return {
      servedOlderAt: this.#servedOlderAt.get(vm),
      currentWithOlder: this.#currentWithOlder.get(vm),
    };
  }

  /** Resolves when all tasks have ended, after the signal has aborted. */
  async ended(): Promise<void> {
    await Promise.all(this.#tasks.values());
  }

  async #ask(vm: string): Promise<void> {
    const { version, members, clock, signal } = this.#options;
    let notified = false;
    while (!signal.aborted && !this.#confirmed.has(vm)) {
      // The address is looked up again: a replaced router has another one.
      const peerUrl = this.#members.get(vm)?.reachable?.peerUrl;
      if (peerUrl !== undefined) {
        const status = await this.#limit.run(async () => {
          if (signal.aborted) return undefined;
          if (!notified) await members.notify(peerUrl, version, signal);
          notified = true;
          return await members.status(peerUrl, version, signal);
        });
        if (status?.vm === vm) this.#note(status);
      }
      if (!this.#confirmed.has(vm)) await clock.sleep(ASK_PAUSE_MS, signal);
    }
  }

  #note(status: CatalogueStatus): void {
    const { vm, incarnation, mode } = status;
    const at = this.#options.clock.now();
    if (status.version >= this.#options.version) {
      this.#confirmed.set(vm, incarnation);
      this.changed.notify();
    } else if (mode === "current" || mode === "outage") {
      this.#servedOlderAt.set(vm, at);
      if (mode === "current") {
        this.#currentWithOlder.set(vm, { at, incarnation });
      }
    }
  }
}
