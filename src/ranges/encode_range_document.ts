import type { RangeDocument } from "./range_document.ts";

/**
 * @param document - owners of a service's keys
 * @returns contents of its row
 */
export function encodeRangeDocument(document: RangeDocument): Uint8Array {
  return Buffer.from(JSON.stringify(document));
}
