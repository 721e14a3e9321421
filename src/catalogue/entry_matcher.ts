import type { CatalogueView } from "./catalogue_view.ts";
import { CompiledCatalogue } from "./compiled_catalogue.ts";
import type { MatchedEntry } from "./matched_entry.ts";

/** Matches requests against the catalogue version that is in force. */
export class EntryMatcher {
  readonly #view: CatalogueView;
  #version = 0;
  #compiled: CompiledCatalogue | undefined;

  /**
   * @param view - the catalogue in force; compiled once for each version
   */
  constructor(view: CatalogueView) {
    this.#view = view;
  }

  /**
   * @param host - `Host` header of the request, if it has one
   * @param target - request target: path and query
   * @returns the entry of the request, or undefined if none matches
   */
  match(host: string | undefined, target: string): MatchedEntry | undefined {
    const row = this.#view.current;
    if (row === undefined) return undefined;
    if (this.#compiled === undefined || this.#version !== row.version) {
      this.#compiled = new CompiledCatalogue(row.document);
      this.#version = row.version;
    }
    return this.#compiled.match(host, target);
  }
}
