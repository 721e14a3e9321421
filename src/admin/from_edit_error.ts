import { assertNever } from "../base/assert_never.ts";
import type { CatalogueEditError } from "../catalogue/catalogue_edit_error.ts";
import { formatPath } from "../settings/format_path.ts";
import type { AdminError } from "./admin_error.ts";

/**
 * Converts an error of the catalogue editor.
 *
 * @param error - why a catalogue could not be read or changed
 * @returns the error to answer with
 */
export function fromEditError(error: CatalogueEditError): AdminError {
  switch (error.kind) {
    case "conflict":
      return {
        code: "conflict",
        message: error.version === 0
          ? "there is no catalogue yet"
          : `version ${error.version} by ${error.author} came first`,
        data: {
          version: error.version,
          author: error.author,
          at: error.at,
        },
      };
    case "invalid":
      return {
        code: "invalid_catalogue",
        message: "the catalogue document is not valid: " +
          error.problems.map(({ path, found, allowed }) =>
            `${formatPath(path)}: found ${found}, allowed is ${allowed}`
          ).join("; "),
        data: { problems: error.problems },
      };
    case "unavailable":
      return {
        code: "unavailable",
        message: "the table service is unavailable, nothing was changed: " +
          error.message,
        data: {},
      };
    case "unknown":
      return {
        code: "outcome_unknown",
        message: "the table service did not say whether version " +
          `${error.version} was committed; see the history before repeating`,
        data: { version: error.version },
      };
    case "unreadable":
      return { code: "unreadable_record", message: error.message, data: {} };
    default:
      return assertNever(error);
  }
}
