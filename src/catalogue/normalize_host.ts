/**
 * @param host - `Host` header of a request or `match.host` of an entry
 * @returns the host in lower case, without port and without a final dot
 */
export function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, "").replace(/\.$/, "");
}
