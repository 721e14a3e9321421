import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";
import type { VmList } from "../contracts/vm_list.ts";
import type { ListedVmsView } from "./listed_vms_view.ts";
import { withTimeout } from "./with_timeout.ts";

// The list lags, so a VM that was never listed may be too new for it. Such a VM
// counts as absent only after this time.
const UNLISTED_GRACE_PERIOD_MS = 30_000;
// VMs are replaced daily, so missing ones are forgotten after this time.
const MISSING_VM_RETENTION_MS = 3_600_000;

/** Polls the platform's VM list and keeps the last one that could be read. */
export class VmListPoller implements ListedVmsView {
  readonly changed = new ChangeNotifier();

  readonly #list: VmList;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #pollMs: number;
  #vms: readonly ListedVm[] = [];
  #serializedVms = "";
  #lastSentAt: number | undefined;
  /**
   * Since when a VM is missing, by id: the end of the first read that missed
   * it; for a VM that was never listed, the first call of `absentSince`.
   */
  readonly #missingSince = new Map<string, number>();
  readonly #everListed = new Set<string>();

  /**
   * @param options - `list` to read and `pollMs` between reads in milliseconds,
   * which is also the timeout of one read
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
   * @returns when the last successful read was sent, in monotonic milliseconds,
   * or undefined before the first
   */
  get lastSentAt(): number | undefined {
    return this.#lastSentAt;
  }

  /**
   * A VM is absent if an earlier read listed it and the last one did not. A VM
   * that was never listed is absent if the reads still miss it 30 s after the
   * first call of this method for it.
   *
   * @param vm - the VM's id
   * @returns since when it is absent, in monotonic milliseconds, or undefined
   */
  absentSince(vm: string): number | undefined {
    if (this.#lastSentAt === undefined) return undefined;
    if (this.#vms.some((listed) => listed.id === vm)) return undefined;
    const since = this.#missingSince.get(vm);
    if (since === undefined) {
      this.#missingSince.set(vm, this.#clock.now());
      return undefined;
    }
    const isAbsent = this.#everListed.has(vm) ||
      this.#lastSentAt - since >= UNLISTED_GRACE_PERIOD_MS;
    return isAbsent ? since : undefined;
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
        (readSignal) => this.#list.read(readSignal),
      );
      if (result.isOk()) this.#adopt(result.value, sentAt);
      else this.#logger.debug({ error: result.error }, "VM list poll failed");
      const elapsed = this.#clock.now() - sentAt;
      await this.#clock.sleep(Math.max(0, this.#pollMs - elapsed), signal);
    }
  }

  #adopt(vms: readonly ListedVm[], sentAt: number): void {
    this.#lastSentAt = sentAt;
    const ids = new Set(vms.map((vm) => vm.id));
    for (const id of ids) {
      this.#everListed.add(id);
      this.#missingSince.delete(id);
    }
    for (const id of this.#everListed) {
      if (!ids.has(id) && !this.#missingSince.has(id)) {
        this.#missingSince.set(id, this.#clock.now());
      }
    }
    for (const [id, since] of this.#missingSince) {
      if (this.#clock.now() - since > MISSING_VM_RETENTION_MS) {
        this.#missingSince.delete(id);
        this.#everListed.delete(id);
      }
    }
    const serialized = JSON.stringify(vms);
    if (serialized === this.#serializedVms) return;
    this.#serializedVms = serialized;
    this.#vms = vms;
    this.changed.notify();
  }
}
