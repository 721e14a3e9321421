import { readFile } from "node:fs/promises";
import { ResultAsync } from "neverthrow";
import type { DocumentError } from "./document_error.ts";

const ERROR_DESCRIPTIONS: Readonly<Record<string, string>> = {
  ENOENT: "no such file",
  EISDIR: "a directory",
  EACCES: "a file that this user may not read",
};

/**
 * @param file - path of the file
 * @returns its content as UTF-8 text, or why it cannot be read
 */
export function readTextFile(
  file: string,
): ResultAsync<string, DocumentError> {
  return ResultAsync.fromPromise(readFile(file, "utf8"), (thrown) => {
    const code = thrown instanceof Error && "code" in thrown
      ? String(thrown.code)
      : "";
    return {
      file,
      problems: [{
        path: [],
        found: ERROR_DESCRIPTIONS[code] ??
          `an error (${code || String(thrown)})`,
        allowed: "a readable file",
      }],
    };
  });
}
