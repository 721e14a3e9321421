import { isLinkHeader } from "./is_link_header.ts";

/**
 * Removes headers that concern one connection only, headers that `Connection`
 * names, and headers of the router itself.
 *
 * @param raw - names and values in turn, as Node's `rawHeaders`
 * @returns the other headers by lower-case name; repeated ones as an array
 */
export function endToEndHeaders(
  raw: readonly string[],
): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  let named: string[] | undefined;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = (raw[i] ?? "").toLowerCase();
    const value = raw[i + 1] ?? "";
    if (name === "connection") {
      const options = value.toLowerCase().split(",").map((s) => s.trim());
      for (const option of options) {
        // Content-Length frames the body, whatever `Connection` says.
        if (option === "content-length" || option === "host") continue;
        (named ??= []).push(option);
      }
    }
    if (isLinkHeader(name)) continue;
    if (name === "__proto__") continue;
    // A header may be called like a member of `Object.prototype`.
    const known = Object.hasOwn(headers, name) ? headers[name] : undefined;
    if (known === undefined) headers[name] = value;
    else if (typeof known === "string") {
      // A repeated Host or Content-Length is an error at the next hop; Node
      // has already refused differing lengths and uses the first Host.
      if (name !== "host" && name !== "content-length") {
        headers[name] = [known, value];
      }
    } else known.push(value);
  }
  for (const name of named ?? []) Reflect.deleteProperty(headers, name);
  return headers;
}
