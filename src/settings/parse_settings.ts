import type { Result } from "neverthrow";
import type { DocumentError } from "./document_error.ts";
import { parseDocument } from "./parse_document.ts";
import { Settings } from "./settings.ts";

/**
 * @param file - name of the file, for error messages
 * @param text - YAML text of the settings file
 * @returns the settings with defaults filled in, or every problem
 */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, DocumentError> {
  return parseDocument(
    // Operators may paste a credential in place of its SHA-256 by mistake.
    { file, text, schemaNumber: 1, secretKeys: ["sha256"] },
    Settings,
  );
}
