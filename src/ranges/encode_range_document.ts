import { deflateRawSync } from "node:zlib";
import type { RangeDocument } from "./range_document.ts";

/**
 * Encodes the owners of a service's keys as a row value. It is compressed
 * because every VM receives each version of the row, and traffic between
 * regions is billed.
 *
 * @param document - owners of a service's keys
 * @returns value of the service's row: compressed JSON
 */
export function encodeRangeDocument(document: RangeDocument): Uint8Array {
  return deflateRawSync(JSON.stringify(document));
}
