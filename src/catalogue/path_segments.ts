/**
 * Splits a path into decoded segments, so that paths and prefixes match however
 * a caller encodes them. Segments have the same positions as in key extraction.
 *
 * @param path - path of a request or prefix, starting with `/`, without query
 * @returns the percent-decoded segments; empty segments between slashes are
 * kept. Undefined if decoding fails or a segment is `.` or `..`, which an
 * upstream could resolve to another path
 */
export function pathSegments(path: string): string[] | undefined {
  const segments = path.split("/").slice(1);
  for (const [position, segment] of segments.entries()) {
    let decoded = segment;
    if (segment.includes("%")) {
      try {
        decoded = decodeURIComponent(segment);
      } catch {
        return undefined;
      }
      segments[position] = decoded;
    }
    if (decoded === "." || decoded === "..") return undefined;
  }
  return segments;
}
