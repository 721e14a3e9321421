/**
 * @param values - parameters; undefined ones are left out
 * @returns the query with question mark, or an empty string
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
