import type { DocumentError } from "../settings/document_error.ts";
import { formatDocumentError } from "../settings/format_document_error.ts";
import type { CliFailure } from "./cli_failure.ts";
import { EXIT_CODE } from "./exit_code.ts";

/**
 * Converts the problems of a settings or catalogue file.
 *
 * @param error - the problems of the file
 * @returns the failure to print
 */
export function fromDocumentError(error: DocumentError): CliFailure {
  return {
    exitCode: EXIT_CODE.usage,
    code: "bad_file",
    message: `the file is not valid\n${formatDocumentError(error)}`,
    data: { file: error.file, problems: error.problems },
  };
}
