const HOP_BY_HOP = new Set([
  "connection",
  // Answered by whoever receives it; undici refuses to send it.
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
 * @param name - lower-case name of a header
 * @returns whether the header concerns one connection only or belongs to the
 * router itself, so that it is not passed on
 */
export function isLinkHeader(name: string): boolean {
  return HOP_BY_HOP.has(name) || name.startsWith(OWN_PREFIX);
}
