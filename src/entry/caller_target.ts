/**
 * Extracts path and query from a request target.
 *
 * @param url - request target as received, in origin, absolute or asterisk form
 * @returns path and query; targets in other forms are returned as they are
 */
export function callerTarget(url: string): string {
  if (url.startsWith("/")) return url;
  const absolute = /^https?:\/\/[^/?#]*/i.exec(url);
  if (absolute === null) return url;
  const target = url.slice(absolute[0].length);
  return target.startsWith("/") ? target : `/${target}`;
}
