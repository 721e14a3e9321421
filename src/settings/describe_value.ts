const MAX_SHOWN_CHARS = 60;
const MAX_SHOWN_KEYS = 5;

/**
 * @param value - a value of a parsed document
 * @returns a description of the value, shortened to fit an error message
 */
export function describeValue(value: unknown): string {
  if (value === undefined) return "nothing";
  if (value === null) return "null";
  if (typeof value === "string") {
    return value.length <= MAX_SHOWN_CHARS
      ? JSON.stringify(value)
      : `${JSON.stringify(value.slice(0, MAX_SHOWN_CHARS))}… ` +
        `(${value.length} characters)`;
  }
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (typeof value === "object") {
    const keys = Object.keys(value);
    if (keys.length === 0) return "an empty mapping";
    const shown = keys.slice(0, MAX_SHOWN_KEYS).map((key) =>
      describeValue(key)
    );
    if (keys.length > MAX_SHOWN_KEYS) shown.push("…");
    return `a mapping with ${shown.join(", ")}`;
  }
  return typeof value === "number" || typeof value === "boolean"
    ? String(value)
    : `a value of type ${typeof value}`;
}
