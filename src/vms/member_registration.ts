import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { TableService } from "../contracts/table_service.ts";
import { MemberRow } from "./member_row.ts";
import type { MemberView } from "./member_view.ts";
import type { StoreContact } from "./store_contact.ts";
import type { VmListPoller } from "./vm_list_poller.ts";
import { waitForChange } from "./wait_for_change.ts";
import { withTimeout } from "./with_timeout.ts";

const INITIAL_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5000;
const ATTEMPT_TIMEOUT_MS = 2000;
// Longest time between two checks of the choice of witnesses, which can change
// with time alone, without a notification.
const WITNESS_CHECK_INTERVAL_MS = 5000;

/** Writes, updates and removes the row `members/<vm>` of this router. */
export class MemberRegistration {
  readonly #table: TableService;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #self: Pick<
    MemberRow,
    "vm" | "incarnation" | "region" | "failureDomain" | "peerUrl"
  >;
  readonly #contact: StoreContact;
  readonly #members: MemberView;
  readonly #vmList: Pick<VmListPoller, "changed">;
  readonly #key: string;
  /** The row as last read or written; revision 0 when absent. */
  #known: { revision: number; row: MemberRow | undefined } | undefined;
  /** The witnesses that the row names; undefined while this is uncertain. */
  #writtenWitnesses: Readonly<Record<string, string>> | undefined;
  #registered = false;
  #superseded = false;

  /**
   * @param options - `table` to write to, `self` for the row, including the
   * random `incarnation` of this process, `contact` for the choice of
   * witnesses, and `members` and `vmList`, whose changes may affect that choice
   */
  constructor(
    options: {
      table: TableService;
      clock: Clock;
      logger: Logger;
      self: Pick<
        MemberRow,
        "vm" | "incarnation" | "region" | "failureDomain" | "peerUrl"
      >;
      contact: StoreContact;
      members: MemberView;
      vmList: Pick<VmListPoller, "changed">;
    },
  ) {
    this.#table = options.table;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#self = options.self;
    this.#contact = options.contact;
    this.#members = options.members;
    this.#vmList = options.vmList;
    this.#key = `members/${options.self.vm}`;
  }

  /**
   * @returns revision of the row that this process wrote, or undefined while
   * it is not registered
   */
  get revision(): number | undefined {
    return this.#known?.row?.incarnation === this.#self.incarnation
      ? this.#known.revision
      : undefined;
  }

  /**
   * Writes the row, and again whenever the witnesses change, until the signal
   * aborts. Failed attempts are repeated with a back-off of up to 5 s.
   *
   * @param signal - ends the task; the row is not removed
   */
  async run(signal: AbortSignal): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted && !this.#superseded) {
      if (this.#isUpToDate()) {
        backoffMs = INITIAL_BACKOFF_MS;
        await waitForChange({
          clock: this.#clock,
          ms: WITNESS_CHECK_INTERVAL_MS,
          notifiers: [
            this.#members.changed,
            this.#vmList.changed,
            this.#contact.changed,
            this.#contact.leavingAnnounced,
          ],
        }, signal);
        continue;
      }
      if (await this.#attemptWrite(signal)) continue;
      await this.#clock.sleep(backoffMs, signal);
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  /**
   * Removes the row. To be called once `run` has ended and this router has
   * stopped all work that it does as a registered member.
   *
   * @param signal - aborts the attempts
   */
  async remove(signal: AbortSignal): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted && !this.#superseded) {
      if (this.#known === undefined) await this.#read(signal);
      const known = this.#known;
      if (known !== undefined) {
        if (known.row?.incarnation !== this.#self.incarnation) return;
        const result = await withTimeout(
          { clock: this.#clock, ms: ATTEMPT_TIMEOUT_MS },
          signal,
          (attemptSignal) =>
            this.#table.transact({
              conditions: [{ key: this.#key, revision: known.revision }],
              writes: [{ key: this.#key, value: null }],
            }, attemptSignal),
        );
        if (result.isOk() && result.value.committed) {
          this.#known = { revision: result.value.revision, row: undefined };
          return;
        }
        this.#known = undefined;
      }
      await this.#clock.sleep(backoffMs, signal);
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  #isUpToDate(): boolean {
    if (!this.#registered) return false;
    // The row is not rewritten while the store cannot be reached.
    if (this.#contact.mode() !== "current") return true;
    return this.#writtenWitnesses !== undefined &&
      hasSameEntries(this.#contact.witnesses(), this.#writtenWitnesses);
  }

  /** Returns whether the row is up to date after this attempt. */
  async #attemptWrite(signal: AbortSignal): Promise<boolean> {
    if (this.#known === undefined && !await this.#read(signal)) return false;
    const known = this.#known;
    if (known === undefined || this.#isUpToDate()) return true;
    const witnesses = this.#contact.witnesses();
    const row: MemberRow = {
      schema: 1,
      ...this.#self,
      witnesses: Object.keys(witnesses),
      witnessIncarnations: witnesses,
    };
    const set = this.#contact.addWitnesses("member", witnesses);
    const result = await withTimeout(
      { clock: this.#clock, ms: ATTEMPT_TIMEOUT_MS },
      signal,
      (attemptSignal) =>
        this.#table.transact({
          conditions: [{ key: this.#key, revision: known.revision }],
          writes: [{ key: this.#key, value: row }],
        }, attemptSignal),
    );
    if (result.isOk() && result.value.committed) {
      this.#known = { revision: result.value.revision, row };
      this.#writtenWitnesses = witnesses;
      this.#registered = true;
      set.confirm();
      this.#contact.markRegistered();
      this.#logger.info({ witnesses: row.witnesses }, "member row written");
      return true;
    }
    // After a write with an unknown outcome the witness set is kept, because the
    // row may name these witnesses.
    if (result.isOk() || result.error.kind === "unavailable") set.withdraw();
    this.#known = undefined;
    this.#writtenWitnesses = undefined;
    return false;
  }

  async #read(signal: AbortSignal): Promise<boolean> {
    const result = await withTimeout(
      { clock: this.#clock, ms: ATTEMPT_TIMEOUT_MS },
      signal,
      (attemptSignal) =>
        this.#table.readRows({ prefix: this.#key, since: 0 }, attemptSignal),
    );
    if (result.isErr()) return false;
    const found = result.value.rows.find((row) => row.key === this.#key);
    const parsed = MemberRow.safeParse(found?.value);
    const row = parsed.success ? parsed.data : undefined;
    if (
      this.#registered && row !== undefined &&
      row.incarnation !== this.#self.incarnation
    ) {
      this.#superseded = true;
      this.#logger.error(
        { vm: this.#self.vm, incarnation: row.incarnation },
        "another process registered this VM; not registering again",
      );
      return false;
    }
    // The caller rewrites the row after this read. Only the new write settles
    // which of the attempted witness sets the row names.
    this.#known = {
      revision: found?.value === null ? 0 : found?.revision ?? 0,
      row,
    };
    return true;
  }
}

function hasSameEntries(
  a: Readonly<Record<string, string>>,
  b: Readonly<Record<string, string>>,
): boolean {
  const keys = Object.keys(a);
  return keys.length === Object.keys(b).length &&
    keys.every((key) => a[key] === b[key]);
}
