import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";
import type { VmList } from "../contracts/vm_list.ts";
import type { ListedVmsView } from "./listed_vms_view.ts";
import { withTimeout } from "./with_timeout.ts";

// A VM that is missing from the list may be too new for the lagging list. It
// counts as gone without having been listed only after this time.
const UNLISTED_GRACE_MS = 30_000;
// VMs are replaced daily; a missing one is remembered for this time.
const MEMORY_MS = 3_600_000;

/** Keeps the last VM list that could be read. */
export class VmListPoller implements ListedVmsView {
  readonly changed = new ChangeNotifier();

  readonly #list: VmList;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #pollMs: number;
  #vms: readonly ListedVm[] = [];
  #text = "";
  #readAt: number | undefined;
  /** By VM id: when the first of the unbroken reads that miss it was done. */
  readonly #missingSince = new Map<string, number>();
  readonly #seen = new Set<string>();

  /**
   * @param options - `list` to read and `pollMs` between reads, which is also
   * the longest wait for one read
   */
  constructor(
    options: { list: VmList; clock: Clock; logger: Logger; pollMs: number },
  ) {
    this.#list = options.list;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#pollMs = options.pollMs;
  }

  get vms(): readonly ListedVm[] {
    return this.#vms;
  }

  /**
   * @returns when the last successful read was sent, or undefined
   */
  get readAt(): number | undefined {
    return this.#readAt;
  }

  /**
   * A VM is gone when an earlier read named it and the last one does not, or
   * when it has been missing from every read for 30 s.
   *
   * @param vm - the VM's id
   * @returns since when it is known to be gone, or undefined
   */
  absentSince(vm: string): number | undefined {
    if (this.#readAt === undefined) return undefined;
    if (this.#vms.some((listed) => listed.id === vm)) return undefined;
    const since = this.#missingSince.get(vm);
    if (since === undefined) {
      this.#missingSince.set(vm, this.#clock.now());
      return undefined;
    }
    const known = this.#seen.has(vm) ||
      this.#readAt - since >= UNLISTED_GRACE_MS;
    return known ? since : undefined;
  }

  /**
   * Reads the list until the signal aborts.
   *
   * @param signal - ends the task
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sentAt = this.#clock.now();
      const result = await withTimeout(
        { clock: this.#clock, ms: this.#pollMs },
        signal,
        (limited) => this.#list.read(limited),
      );
      if (result.isOk()) this.#take(result.value, sentAt);
      else this.#logger.debug({ error: result.error }, "VM list unreadable");
      const elapsed = this.#clock.now() - sentAt;
      await this.#clock.sleep(Math.max(0, this.#pollMs - elapsed), signal);
    }
  }

  #take(vms: readonly ListedVm[], sentAt: number): void {
    this.#readAt = sentAt;
    const ids = new Set(vms.map((vm) => vm.id));
    for (const id of ids) {
      this.#seen.add(id);
      this.#missingSince.delete(id);
    }
    for (const id of this.#seen) {
      if (!ids.has(id) && !this.#missingSince.has(id)) {
        this.#missingSince.set(id, this.#clock.now());
      }
    }
    for (const [id, since] of this.#missingSince) {
      if (this.#clock.now() - since > MEMORY_MS) {
        this.#missingSince.delete(id);
        this.#seen.delete(id);
      }
    }
    const text = JSON.stringify(vms);
    if (text === this.#text) return;
    this.#text = text;
    this.#vms = vms;
    this.changed.notify();
  }
}
