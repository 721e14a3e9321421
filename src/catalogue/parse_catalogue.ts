import { err, ok, type Result } from "neverthrow";
import type { DocumentError } from "../settings/document_error.ts";
import { parseDocument } from "../settings/parse_document.ts";
import { CatalogueDocument } from "./catalogue_document.ts";
import { checkCatalogue } from "./check_catalogue.ts";

/**
 * @param file - name of the file, for error messages
 * @param text - YAML or JSON text of a catalogue document
 * @returns the document with defaults filled in, or every problem; the rules
 * across entries are checked only if the document matches its schema
 */
export function parseCatalogue(
  file: string,
  text: string,
): Result<CatalogueDocument, DocumentError> {
  return parseDocument({ file, text, schemaNumber: 1 }, CatalogueDocument)
    .andThen((document) => {
      const problems = checkCatalogue(document);
      return problems.length === 0 ? ok(document) : err({ file, problems });
    });
}
