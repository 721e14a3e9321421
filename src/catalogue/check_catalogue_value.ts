import { err, ok, type Result } from "neverthrow";
import { checkDocument } from "../settings/check_document.ts";
import type { DocumentProblem } from "../settings/document_problem.ts";
import { CatalogueDocument } from "./catalogue_document.ts";
import { checkCatalogue } from "./check_catalogue.ts";

/**
 * @param value - a catalogue document as parsed from JSON
 * @returns the document with defaults filled in, or every problem; the rules
 * across entries are checked only if the document matches its schema
 */
export function checkCatalogueValue(
  value: unknown,
): Result<CatalogueDocument, DocumentProblem[]> {
  return checkDocument({ value, schemaNumber: 1 }, CatalogueDocument)
    .andThen((document) => {
      const problems = checkCatalogue(document);
      return problems.length === 0 ? ok(document) : err(problems);
    });
}
