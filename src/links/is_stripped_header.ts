const HOP_BY_HOP = new Set([
  "connection",
  // Each receiver handles it itself; undici refuses to send it.
  "expect",
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
 * Determines whether a header must not be forwarded, because it is hop-by-hop
 * (it concerns one connection only) or the router's own.
 *
 * @param name - lower-case name of a header
 * @returns whether to remove the header
 */
export function isStrippedHeader(name: string): boolean {
  return HOP_BY_HOP.has(name) || name.startsWith(OWN_PREFIX);
}
