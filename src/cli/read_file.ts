import type { ResultAsync } from "neverthrow";
import { readTextFile } from "../settings/read_text_file.ts";
import type { CliFailure } from "./cli_failure.ts";
import { fromDocumentError } from "./from_document_error.ts";

/**
 * Reads a text file.
 *
 * @param file - path that the operator entered
 * @returns the file's text, or the failure to print
 */
export function readFile(file: string): ResultAsync<string, CliFailure> {
  return readTextFile(file).mapErr(fromDocumentError);
}
