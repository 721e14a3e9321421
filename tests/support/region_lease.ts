import { ResultAsync } from "neverthrow";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { TableError } from "../../src/contracts/table_error.ts";
import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";
import type { CoordinatorLeaseView } from "../../src/regions/coordinator_lease_view.ts";
import { CoordinatorRow } from "../../src/regions/coordinator_row.ts";
import type { RegionProcess } from "./region_process.ts";
import type { RegionTable } from "./region_table.ts";

const TTL_MS = 1200;
const STEP_MS = 150;

/** A coordinator lease without witnesses; also knows the present holder. */
export class RegionLease implements CoordinatorLeaseView {
  readonly changed = new ChangeNotifier();
  /** Whether the lease outlasts its TTL, as in an outage with witnesses. */
  mayContinue = () => false;
  readonly #me: {
    vm: string;
    incarnation: string;
    region: string;
    process: RegionProcess;
  };
  readonly #table: RegionTable;
  #row: { revision: number; row: CoordinatorRow } | undefined;
  #seenSince = 0;
  #since = 0;
  #heldUntil = -Infinity;
  #turn: Promise<unknown> = Promise.resolve();

  constructor(
    me: {
      vm: string;
      incarnation: string;
      region: string;
      process: RegionProcess;
    },
    table: RegionTable,
  ) {
    this.#me = me;
    this.#table = table;
  }

  held(): { epoch: number; since: number } | undefined {
    if (this.#row === undefined || this.#heldUntil === -Infinity) {
      return undefined;
    }
    const expired = this.#me.process.now() >= this.#heldUntil;
    if (expired && !this.mayContinue()) return undefined;
    return { epoch: this.#row.row.epoch, since: this.#since };
  }

  get(): { revision: number; row: CoordinatorRow } | undefined {
    return this.#row;
  }

  writeFenced(
    tx: TableTransaction,
  ): ResultAsync<TableOutcome, TableError> {
    const key = `coordinators/${this.#me.region}`;
    const revision = this.#row?.revision ?? 0;
    const conditions = [...tx.conditions, { key, revision }];
    const result = new ResultAsync((async () => {
      const outcome = await this.#table.transact({ ...tx, conditions });
      await this.#me.process.running();
      return outcome;
    })());
    this.#turn = Promise.resolve(result);
    return result;
  }

  async run(candidate: boolean): Promise<void> {
    const { process } = this.#me;
    while (!process.signal.aborted) {
      await this.#turn;
      await process.running();
      await this.#step(candidate);
      await process.sleep(STEP_MS, process.signal);
    }
  }

  async #step(candidate: boolean): Promise<void> {
    const { process, region, vm, incarnation } = this.#me;
    const key = `coordinators/${region}`;
    const read = await this.#table.readRows({ prefix: key, since: 0 });
    await process.running();
    if (read.isErr()) {
      this.#seenSince = process.now();
      return;
    }
    const found = read.value.rows[0];
    if (found !== undefined) {
      const row = CoordinatorRow.parse(found.value);
      const before = this.#row;
      if (before === undefined || found.revision > before.revision) {
        if (row.incarnation !== incarnation) this.#heldUntil = -Infinity;
        this.#row = { revision: found.revision, row };
        this.#seenSince = process.now();
        if (before?.row.epoch !== row.epoch) this.changed.notify();
      }
    }
    const mine = this.#row?.row.incarnation === incarnation &&
      this.held() !== undefined;
    const expired = process.now() - this.#seenSince > TTL_MS;
    const free = this.#row === undefined || expired;
    if (!candidate || (!mine && !free)) return;
    const sentAt = process.now();
    const next: CoordinatorRow = {
      schema: 1,
      region,
      vm,
      incarnation,
      peerUrl: vm,
      epoch: (this.#row?.row.epoch ?? 0) + (mine ? 0 : 1),
      beat: (this.#row?.row.beat ?? 0) + 1,
      witnesses: [],
    };
    const outcome = await this.#table.transact({
      conditions: [{ key, revision: this.#row?.revision ?? 0 }],
      writes: [{ key, value: next }],
    });
    await process.running();
    if (outcome.isErr() || !outcome.value.committed) return;
    this.#row = { revision: outcome.value.revision, row: next };
    this.#heldUntil = sentAt + TTL_MS;
    if (!mine) {
      this.#since = process.now();
      this.changed.notify();
    }
  }
}
