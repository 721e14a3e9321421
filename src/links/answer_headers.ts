import { isLinkHeader } from "./is_link_header.ts";

/**
 * @param headers - headers of an upstream's answer by lower-case name
 * @returns a copy without those that are not passed on
 */
export function answerHeaders(
  headers: Readonly<Record<string, string | string[]>>,
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const name of Object.keys(headers)) {
    const value = headers[name];
    if (value !== undefined && !isLinkHeader(name)) kept[name] = value;
  }
  return kept;
}
