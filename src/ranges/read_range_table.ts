import { inflateRawSync } from "node:zlib";
import type { Logger } from "../base/logger.ts";
import type { Row } from "../rows/row.ts";
import { RangeDocument } from "./range_document.ts";
import { RangeTable } from "./range_table.ts";

/** First byte of a row that an earlier version wrote without compression. */
const PLAIN_JSON_FIRST_BYTE = "{".charCodeAt(0);
/**
 * Limit on the decompressed row. This program writes no larger ones, as the
 * store holds 64 KiB per row.
 */
const MAX_JSON_BYTES = 4 * 1024 * 1024;

function decodeText(value: Uint8Array): string {
  const plain = value[0] === PLAIN_JSON_FIRST_BYTE
    ? value
    : inflateRawSync(value, { maxOutputLength: MAX_JSON_BYTES });
  return Buffer.from(plain).toString("utf8");
}

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
    value = JSON.parse(decodeText(row.value));
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
