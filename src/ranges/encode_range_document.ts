import { deflateRawSync } from "node:zlib";
import type { RangeDocument } from "./range_document.ts";

/**
 * Every VM gets each version of the row, and bytes between regions are billed.
 *
 * @param document - owners of a service's keys
 * @returns contents of its row: compressed JSON
 */
export function encodeRangeDocument(document: RangeDocument): Uint8Array {
  return deflateRawSync(JSON.stringify(document));
}
