import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
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
  readonly #confirmed = new Set<string>();
  /** When a member last said that it serves an older version. */
  readonly #servedOlderAt = new Map<string, number>();

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
   * @returns whether it has put the version, or a newer one, in force
   */
  isConfirmed(vm: string): boolean {
    return this.#confirmed.has(vm);
  }

  /**
   * @param vm - a member
   * @returns when it last said that it serves an older version, if it did
   */
  servedOlderAt(vm: string): number | undefined {
    return this.#servedOlderAt.get(vm);
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
        if (status?.vm === vm) this.#note(vm, status.version, status.mode);
      }
      if (!this.#confirmed.has(vm)) await clock.sleep(ASK_PAUSE_MS, signal);
    }
  }

  #note(vm: string, version: number, mode: string): void {
    if (version >= this.#options.version) {
      this.#confirmed.add(vm);
      this.changed.notify();
    } else if (mode === "current" || mode === "outage") {
      this.#servedOlderAt.set(vm, this.#options.clock.now());
    }
  }
}
