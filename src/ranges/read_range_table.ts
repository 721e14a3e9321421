import type { Logger } from "../base/logger.ts";
import type { Row } from "../rows/row.ts";
import { RangeDocument } from "./range_document.ts";
import { rangeRowCodec } from "./range_row_codec.ts";
import { RangeTable } from "./range_table.ts";

/**
 * Decodes the row of one service.
 *
 * @param row - row of one service
 * @param logger - receives an error if the row cannot be read
 * @param era - era of the store from which the row was read
 * @returns the owners of the service's keys, or undefined if the row cannot be
 * read
 */
export function readRangeTable(
  row: Row,
  logger: Logger,
  era = 0,
): RangeTable | undefined {
  let value: unknown;
  try {
    value = JSON.parse(
      Buffer.from(rangeRowCodec.decode(row.value)).toString("utf8"),
    );
  } catch (err) {
    logger.error({ err, key: row.key }, "row of key owners cannot be decoded");
    return undefined;
  }
  const document = RangeDocument.safeParse(value);
  if (document.success) {
    return new RangeTable(row.version, document.data, era);
  }
  logger.error(
    { key: row.key, problems: document.error.issues },
    "row of key owners does not match the schema",
  );
  return undefined;
}
