import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { TableRow } from "../contracts/table_row.ts";
import type { TableService } from "../contracts/table_service.ts";
import type { CoordinatorView } from "../vms/coordinator_view.ts";
import { withTimeout } from "../vms/with_timeout.ts";
import { CoordinatorRow } from "./coordinator_row.ts";
import type { LeaseRead } from "./lease_read.ts";

type Options = {
  table: TableService;
  /** Key of the lease row. */
  key: string;
  /** Longest time of a read, in milliseconds. */
  timeoutMs: number;
  coordinators: CoordinatorView;
  clock: Clock;
  logger: Logger;
};

/** Reads a coordinator lease row and adopts it in the coordinator view. */
export class LeaseRowReader {
  readonly #options: Options;

  /**
   * @param opts - the row to read, and the view that adopts it
   */
  constructor(opts: Options) {
    this.#options = opts;
  }

  /**
   * Reads the lease row from the table service.
   *
   * @param signal - ends the read
   * @returns the row, or undefined if the store did not answer within the
   * timeout or the row does not match its schema
   */
  async read(signal: AbortSignal): Promise<LeaseRead | undefined> {
    const { clock, table, key, timeoutMs } = this.#options;
    const sentAt = clock.now();
    const result = await withTimeout(
      { clock, ms: timeoutMs },
      signal,
      (limited) => table.readRows({ prefix: key, since: 0 }, limited),
    );
    if (result.isErr()) return undefined;
    const found = result.value.rows.find((row) => row.key === key) ??
      { key, revision: 0, value: null };
    return this.adoptFrom([found], sentAt);
  }

  /**
   * Adopts the lease row from an answer of the table service.
   *
   * @param rows - rows that the store has sent
   * @param sentAt - time at which they were requested, in monotonic
   * milliseconds
   * @returns the lease row, or undefined if it is not among them or does not
   * match its schema
   */
  adoptFrom(
    rows: readonly TableRow[],
    sentAt = this.#options.clock.now(),
  ): LeaseRead | undefined {
    const { clock, coordinators, key, logger } = this.#options;
    const found = rows.find((row) => row.key === key);
    if (found === undefined) return undefined;
    const times = { sentAt, receivedAt: clock.now() };
    if (found.value === null || found.value === undefined) {
      return { ...times, revision: 0, row: undefined };
    }
    const parsed = CoordinatorRow.safeParse(found.value);
    if (!parsed.success) {
      logger.warn(
        { row: key, revision: found.revision },
        "coordinator lease row does not match its schema; ignoring it",
      );
      return undefined;
    }
    coordinators.adopt(found.revision, parsed.data);
    return { ...times, revision: found.revision, row: parsed.data };
  }
}
