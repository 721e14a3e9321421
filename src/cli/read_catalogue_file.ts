import type { ResultAsync } from "neverthrow";
import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import { parseCatalogue } from "../catalogue/parse_catalogue.ts";
import type { CliFailure } from "./cli_failure.ts";
import { fromDocumentError } from "./from_document_error.ts";
import { readFile } from "./read_file.ts";

type CatalogueFile = {
  document: CatalogueDocument;
  /** Version in the comment at the start of the file, if there is one. */
  version: number | undefined;
};

/** Finds the version in the leading comment that `catalogue get` writes. */
function versionInComment(text: string): number | undefined {
  const comments = /^(?:[ \t]*#[^\n]*\n|[ \t]*\n)*/.exec(text)?.[0] ?? "";
  const found = /^[ \t]*#[ \t]*version[ \t:]+(\d{1,10})\b/m.exec(comments);
  return found?.[1] === undefined ? undefined : Number(found[1]);
}

/**
 * Reads and checks a catalogue file.
 *
 * @param file - path of a catalogue document in YAML or JSON
 * @returns the checked document, or the failure to print
 */
export function readCatalogueFile(
  file: string,
): ResultAsync<CatalogueFile, CliFailure> {
  return readFile(file).andThen((text) =>
    parseCatalogue(file, text).mapErr(fromDocumentError)
      .map((document) => ({ document, version: versionInComment(text) }))
  );
}
