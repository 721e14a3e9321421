import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "../base/refusal.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import { CompiledCatalogue } from "../catalogue/compiled_catalogue.ts";
import type { Entry } from "../catalogue/entry.ts";
import { extractKey } from "../catalogue/extract_key.ts";
import type { KeySource } from "../catalogue/key_source.ts";
import type { Service } from "../catalogue/service.ts";

const KEY_ERROR_MESSAGES = {
  missing_key: "the request has no key where the entry expects it",
  bad_key: "the key is empty, repeated, too long or cannot be decoded",
} as const;

/** Looks up entries and services in the catalogue in force. */
export class CatalogueIndex {
  /** Version of `#compiled`; each version is compiled only once. */
  #compiledVersion = 0;
  #compiled: CompiledCatalogue | undefined;

  /**
   * @param view - the catalogue in force
   */
  constructor(private readonly view: CatalogueView) {}

  /**
   * @param host - `Host` header
   * @param path - path of the request
   * @returns the entry that matches the request; undefined if none matches or
   * no catalogue has been read yet
   */
  match(
    host: string | undefined,
    path: string,
  ): { name: string; entry: Entry } | undefined {
    const { current } = this.view;
    if (current === undefined) return undefined;
    if (this.#compiledVersion !== current.version) {
      this.#compiled = new CompiledCatalogue(current.document);
      this.#compiledVersion = current.version;
    }
    return this.#compiled?.match(host, path);
  }

  /**
   * @param name - name of a service
   * @returns the service, undefined if the catalogue has none of this name
   */
  findService(name: string): Service | undefined {
    const services = this.view.current?.document.services ?? {};
    return Object.hasOwn(services, name) ? services[name] : undefined;
  }

  /**
   * @param name - name of an entry
   * @returns the entry, undefined if the catalogue has none of this name
   */
  findEntry(name: string): Entry | undefined {
    const entries = this.view.current?.document.entries ?? {};
    return Object.hasOwn(entries, name) ? entries[name] : undefined;
  }

  /**
   * @param source - where the entry's requests carry their key
   * @param req - target and headers of the request
   * @returns the key, undefined for services without keys, or the refusal if
   * the key is missing or invalid
   */
  extractKey(
    source: KeySource,
    req: { target: string; headers: Record<string, string | string[]> },
  ): Result<string | undefined, Refusal> {
    const name = source.kind === "header" ? source.name.toLowerCase() : "";
    const headers: Record<string, string[]> = {};
    if (Object.hasOwn(req.headers, name)) {
      headers[name] = [req.headers[name] ?? []].flat();
    }
    const key = extractKey(source, { target: req.target, headers });
    if (key.isOk()) return ok(key.value);
    return err({
      code: key.error,
      outcome: "not_run",
      message: KEY_ERROR_MESSAGES[key.error],
    });
  }
}
