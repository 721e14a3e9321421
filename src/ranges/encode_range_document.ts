import type { RangeDocument } from "./range_document.ts";
import { rangeRowCodec } from "./range_row_codec.ts";

/**
 * Encodes the owners of a service's keys as a row value.
 *
 * @param document - owners of a service's keys
 * @returns value of the service's row: compressed JSON
 */
export function encodeRangeDocument(document: RangeDocument): Uint8Array {
  return rangeRowCodec.encode(Buffer.from(JSON.stringify(document)));
}
