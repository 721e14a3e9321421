import { ChangeNotifier } from "../base/change_notifier.ts";
import type { MemberRow } from "./member_row.ts";

/** Holds the registered routers, as last read from the table service. */
export class MemberView {
  readonly changed = new ChangeNotifier();
  readonly #members = new Map<string, MemberRow>();

  /**
   * @param vm - the VM's id
   * @returns its row, or undefined
   */
  get(vm: string): MemberRow | undefined {
    return this.#members.get(vm);
  }

  /**
   * @returns every registered router, sorted by VM id
   */
  all(): MemberRow[] {
    return [...this.#members.values()]
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
  }

  /**
   * @param vm - the VM's id
   * @param row - its row, or undefined if it was removed
   */
  set(vm: string, row: MemberRow | undefined): void {
    if (row === undefined) this.#members.delete(vm);
    else this.#members.set(vm, row);
    this.changed.notify();
  }
}
