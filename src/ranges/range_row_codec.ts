import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { RowCodec } from "../rows/row_codec.ts";

/** First byte of a row that an earlier version wrote without compression. */
const PLAIN_JSON_FIRST_BYTE = "{".charCodeAt(0);
/**
 * Limit on the decompressed row. This program writes no larger ones, as the
 * store holds 64 KiB per row.
 */
const MAX_JSON_BYTES = 4 * 1024 * 1024;

/**
 * Compresses the rows of key owners, because every VM receives each version of
 * them, and traffic between regions is billed.
 */
export const rangeRowCodec: RowCodec = {
  decode: (value) =>
    value[0] === PLAIN_JSON_FIRST_BYTE
      ? value
      : inflateRawSync(value, { maxOutputLength: MAX_JSON_BYTES }),
  encode: (text) => deflateRawSync(text),
};
