import { ok, type Result } from "neverthrow";
import { z } from "zod";
import type { Clock } from "../base/clock.ts";
import type { TableError } from "../contracts/table_error.ts";
import type { TableService } from "../contracts/table_service.ts";
import { catalogueKeys } from "./catalogue_keys.ts";
import { withDeadline } from "./with_deadline.ts";

const TABLE_TIMEOUT_MS = 2000;
const VERSIONS_PER_BLOCK = 10;

/** Omits the document, so that rows of newer schemas are listed as well. */
const HistoryItem = z.object({
  version: z.int().positive(),
  author: z.string(),
  at: z.string(),
});

type Options = {
  table: TableService;
  clock: Clock;
  signal: AbortSignal;
  /** Newest version to list. */
  from: number;
  /** Largest number of versions to list. */
  limit: number;
};

/**
 * Lists catalogue versions.
 *
 * @param options - table service, clock, signal, newest version and count
 * @returns version, author and time, newest first, or why they cannot be read
 */
export async function readHistory(
  options: Options,
): Promise<Result<z.infer<typeof HistoryItem>[], TableError>> {
  const { table, clock, signal, from } = options;
  const oldest = Math.max(1, from - options.limit + 1);
  const items: z.infer<typeof HistoryItem>[] = [];
  let blockStart = Math.floor(from / VERSIONS_PER_BLOCK) * VERSIONS_PER_BLOCK;
  for (
    ;
    blockStart + VERSIONS_PER_BLOCK > oldest;
    blockStart -= VERSIONS_PER_BLOCK
  ) {
    const prefix = catalogueKeys.historyBlock(blockStart);
    const read = await withDeadline(
      { clock, ms: TABLE_TIMEOUT_MS, signal },
      (inner) => table.readRows({ prefix, since: 0 }, inner),
    );
    if (read.isErr()) return read.map(() => []);
    const found = read.value.rows
      .map(({ value }) => HistoryItem.safeParse(value).data)
      .filter((item) => item !== undefined)
      .filter(({ version }) => version >= oldest && version <= from)
      .sort((a, b) => b.version - a.version);
    items.push(...found);
  }
  return ok(items);
}
