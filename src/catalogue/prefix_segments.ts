import { pathSegments } from "./path_segments.ts";

/**
 * @param pathPrefix - the `match.pathPrefix` of an entry
 * @returns the segments that a path must start with; a slash at the end is
 * ignored. Undefined if no path can match the prefix
 */
export function prefixSegments(pathPrefix: string): string[] | undefined {
  if (/[?#\s]/.test(pathPrefix)) return undefined;
  const segments = pathSegments(pathPrefix);
  if (segments?.at(-1) === "") segments.pop();
  // With an empty segment, a slash at the end would make a difference.
  return segments?.includes("") === true ? undefined : segments;
}
