import type { Logger } from "../base/logger.ts";
import type { Row } from "../rows/row.ts";
import { RangeDocument } from "./range_document.ts";
import { RangeTable } from "./range_table.ts";

/**
 * @param row - row of one service
 * @param logger - told of a row that cannot be read
 * @returns the owners of its keys, or undefined if the row cannot be read
 */
export function readRangeTable(
  row: Row,
  logger: Logger,
): RangeTable | undefined {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(row.value).toString("utf8"));
  } catch (err) {
    logger.error({ err, key: row.key }, "row of key owners is not JSON");
    return undefined;
  }
  const document = RangeDocument.safeParse(value);
  if (document.success) return new RangeTable(row.version, document.data);
  logger.error(
    { key: row.key, problems: document.error.issues },
    "row of key owners does not match the schema",
  );
  return undefined;
}
