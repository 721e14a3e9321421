import { isStrippedHeader } from "./is_stripped_header.ts";

/**
 * Removes response headers that must not be forwarded.
 *
 * @param headers - headers of an upstream's response by lower-case name
 * @returns a copy without hop-by-hop and `fescuerun-*` headers
 */
export function responseHeaders(
  headers: Readonly<Record<string, string | string[]>>,
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const name of Object.keys(headers)) {
    const value = headers[name];
    if (value !== undefined && !isStrippedHeader(name)) kept[name] = value;
  }
  return kept;
}
