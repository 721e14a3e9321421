/**
 * Formats the query of a URL.
 *
 * @param values - parameters; undefined ones are left out
 * @returns the query with a question mark; empty without parameters
 */
export function queryString(
  values: Readonly<Record<string, string | number | true | undefined>>,
): string {
  const params = new URLSearchParams();
  for (const [name, value] of Object.entries(values)) {
    if (value !== undefined) params.set(name, String(value));
  }
  return params.size === 0 ? "" : `?${params.toString()}`;
}
