/**
 * @param path - keys and list positions from the root of a document
 * @returns the path in dot notation, e.g. `admin.operators[0].name`; keys with
 * characters other than letters, digits, `_` and `-` are quoted in brackets
 */
export function formatPath(path: readonly (string | number)[]): string {
  let text = "";
  for (const step of path) {
    if (typeof step === "number") text += `[${step}]`;
    else if (!/^[\w-]+$/.test(step)) text += `[${JSON.stringify(step)}]`;
    else text += text === "" ? step : `.${step}`;
  }
  return text;
}
