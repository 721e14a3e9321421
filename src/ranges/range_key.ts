import type { KeyRange } from "./key_range.ts";

/**
 * @param range - a range of keys with its token
 * @returns a text that identifies it
 */
export function rangeKey({ first, last, fence }: KeyRange): string {
  return `${first}-${last}-${fence}`;
}
