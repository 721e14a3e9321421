import { ResultAsync } from "neverthrow";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { TableError } from "../../src/contracts/table_error.ts";
import type { TableOutcome } from "../../src/contracts/table_outcome.ts";
import type { TableTransaction } from "../../src/contracts/table_transaction.ts";
import type { CoordinatorLeaseView } from "../../src/regions/coordinator_lease_view.ts";
import { CoordinatorRow } from "../../src/regions/coordinator_row.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { SimulatedTableService } from "./simulated_table_service.ts";

const LEASE_TTL_MS = 1200;
const RENEWAL_INTERVAL_MS = 150;

/**
 * Coordinator lease of one simulated process, without witnesses. Also returns
 * the row of the current holder.
 */
export class SimulatedCoordinatorLease implements CoordinatorLeaseView {
  readonly changed = new ChangeNotifier();
  /**
   * Returns whether the lease stays held after its TTL, as in an outage with
   * the promises of all witnesses.
   */
  holdsAfterExpiry = () => false;
  readonly #self: {
    vm: string;
    incarnation: string;
    region: string;
    process: SimulatedProcess;
  };
  readonly #table: SimulatedTableService;
  #row: { revision: number; row: CoordinatorRow } | undefined;
  /**
   * Start of the present observation of an unchanged row. A failed read starts
   * the observation again.
   */
  #unchangedSince = 0;
  #acquiredAt = 0;
  #expiresAt = -Infinity;
  #lastFencedWrite: Promise<unknown> = Promise.resolve();

  constructor(
    self: {
      vm: string;
      incarnation: string;
      region: string;
      process: SimulatedProcess;
    },
    table: SimulatedTableService,
  ) {
    this.#self = self;
    this.#table = table;
  }

  held(): { epoch: number; acquiredAt: number } | undefined {
    if (this.#row === undefined || this.#expiresAt === -Infinity) {
      return undefined;
    }
    const expired = this.#self.process.now() >= this.#expiresAt;
    if (expired && !this.holdsAfterExpiry()) return undefined;
    return { epoch: this.#row.row.epoch, acquiredAt: this.#acquiredAt };
  }

  get(): { revision: number; row: CoordinatorRow } | undefined {
    return this.#row;
  }

  writeFenced(
    tx: TableTransaction,
  ): ResultAsync<TableOutcome, TableError> {
    const key = `coordinators/${this.#self.region}`;
    const revision = this.#row?.revision ?? 0;
    const conditions = [...tx.conditions, { key, revision }];
    const result = new ResultAsync((async () => {
      const outcome = await this.#table.transact({ ...tx, conditions });
      await this.#self.process.untilRunning();
      return outcome;
    })());
    this.#lastFencedWrite = Promise.resolve(result);
    return result;
  }

  /**
   * Acquires and renews the lease until the process is killed.
   *
   * @param candidate - whether the process may hold the lease
   */
  async run(candidate: boolean): Promise<void> {
    const { process } = this.#self;
    while (!process.signal.aborted) {
      await this.#lastFencedWrite;
      await process.untilRunning();
      await this.#acquireOrRenew(candidate);
      await process.sleep(RENEWAL_INTERVAL_MS, process.signal);
    }
  }

  async #acquireOrRenew(candidate: boolean): Promise<void> {
    const { process, region, vm, incarnation } = this.#self;
    const key = `coordinators/${region}`;
    const read = await this.#table.readRows({ prefix: key, since: 0 });
    await process.untilRunning();
    if (read.isErr()) {
      this.#unchangedSince = process.now();
      return;
    }
    const found = read.value.rows[0];
    if (found !== undefined) {
      const row = CoordinatorRow.parse(found.value);
      const previous = this.#row;
      if (previous === undefined || found.revision > previous.revision) {
        if (row.incarnation !== incarnation) this.#expiresAt = -Infinity;
        this.#row = { revision: found.revision, row };
        this.#unchangedSince = process.now();
        if (previous?.row.epoch !== row.epoch) this.changed.notify();
      }
    }
    const isHolder = this.#row?.row.incarnation === incarnation &&
      this.held() !== undefined;
    const expired = process.now() - this.#unchangedSince > LEASE_TTL_MS;
    const isAvailable = this.#row === undefined || expired;
    if (!candidate || (!isHolder && !isAvailable)) return;
    const sentAt = process.now();
    const next: CoordinatorRow = {
      schema: 1,
      region,
      vm,
      incarnation,
      peerUrl: vm,
      epoch: (this.#row?.row.epoch ?? 0) + (isHolder ? 0 : 1),
      beat: (this.#row?.row.beat ?? 0) + 1,
      witnesses: [],
    };
    const outcome = await this.#table.transact({
      conditions: [{ key, revision: this.#row?.revision ?? 0 }],
      writes: [{ key, value: next }],
    });
    await process.untilRunning();
    if (outcome.isErr() || !outcome.value.committed) return;
    this.#row = { revision: outcome.value.revision, row: next };
    this.#expiresAt = sentAt + LEASE_TTL_MS;
    if (!isHolder) {
      this.#acquiredAt = process.now();
      this.changed.notify();
    }
  }
}
