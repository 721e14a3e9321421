type Headers = Record<string, string | string[]>;

/** RFC 9110 section 7.6.1, and obsolete names that are still in use. */
const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
const OWN_PREFIX = "fescuerun-";

/**
 * Removes the headers that the router forwards in neither direction: hop-by-hop
 * headers, those listed in `connection`, and every `fescuerun-*` header, so
 * that neither side can imitate the router.
 *
 * @param headers - headers as received
 * @returns the headers to forward, with lower-case names
 */
export function endToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Headers {
  const named = new Set<string>();
  for (const [name, value] of Object.entries(headers)) {
    if (name.toLowerCase() !== "connection" || value === undefined) continue;
    for (const token of [value].flat().join(",").split(",")) {
      named.add(token.trim().toLowerCase());
    }
  }
  const kept: Headers = {};
  for (const [given, value] of Object.entries(headers)) {
    const name = given.toLowerCase();
    if (value === undefined || HOP_BY_HOP.has(name) || named.has(name)) {
      continue;
    }
    if (name.startsWith(OWN_PREFIX)) continue;
    kept[name] = value;
  }
  return kept;
}
