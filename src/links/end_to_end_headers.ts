import { isStrippedHeader } from "./is_stripped_header.ts";

/**
 * Removes hop-by-hop headers, headers that `Connection` names, and the router's
 * own `fescuerun-*` headers.
 *
 * @param raw - alternating names and values, as `rawHeaders` of Node.js
 * @returns the other headers by lower-case name; repeated ones as an array
 */
export function endToEndHeaders(
  raw: readonly string[],
): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  /** Names of the headers that `Connection` lists. */
  let named: string[] | undefined;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = (raw[i] ?? "").toLowerCase();
    const value = raw[i + 1] ?? "";
    if (name === "connection") {
      const options = value.toLowerCase().split(",").map((s) => s.trim());
      for (const option of options) {
        // Without Content-Length the body could not be delimited, and Host is
        // required, even if `Connection` names them.
        if (option === "content-length" || option === "host") continue;
        (named ??= []).push(option);
      }
    }
    if (isStrippedHeader(name)) continue;
    if (name === "__proto__") continue;
    // A header may have the name of a member of `Object.prototype`.
    const previousValue = Object.hasOwn(headers, name)
      ? headers[name]
      : undefined;
    if (previousValue === undefined) headers[name] = value;
    else if (typeof previousValue === "string") {
      // The next server would reject a repeated Host or Content-Length. Node.js
      // has already rejected differing lengths and uses the first Host.
      if (name !== "host" && name !== "content-length") {
        headers[name] = [previousValue, value];
      }
    } else previousValue.push(value);
  }
  for (const name of named ?? []) Reflect.deleteProperty(headers, name);
  return headers;
}
