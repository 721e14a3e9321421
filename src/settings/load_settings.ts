import type { ResultAsync } from "neverthrow";
import type { DocumentError } from "./document_error.ts";
import { parseSettings } from "./parse_settings.ts";
import { readTextFile } from "./read_text_file.ts";
import type { Settings } from "./settings.ts";

/**
 * @param file - path of the YAML settings file
 * @returns the settings with defaults filled in, or every problem
 */
export function loadSettings(
  file: string,
): ResultAsync<Settings, DocumentError> {
  return readTextFile(file).andThen((text) => parseSettings(file, text));
}
