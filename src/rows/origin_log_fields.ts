import type { RowOrigin } from "./row_origin.ts";

/**
 * @param origin - how rows were read; undefined if that is not known
 * @returns fields for log lines about these rows: `source`, and `latenessMs`,
 * the longest time in milliseconds for which they may have been stored
 */
export function originLogFields(
  origin: RowOrigin | undefined,
): { source?: RowOrigin["source"]; latenessMs?: number } {
  if (origin === undefined) return {};
  const { source, latenessMs } = origin;
  return { source, latenessMs: Math.round(latenessMs) };
}
