import { err, ok, type Result } from "neverthrow";
import type { Refusal } from "../base/refusal.ts";
import type { CatalogueView } from "../catalogue/catalogue_view.ts";
import { CompiledCatalogue } from "../catalogue/compiled_catalogue.ts";
import type { Entry } from "../catalogue/entry.ts";
import { extractKey } from "../catalogue/extract_key.ts";
import type { KeySource } from "../catalogue/key_source.ts";
import type { Service } from "../catalogue/service.ts";

const MESSAGES = {
  missing_key: "the request has no key where the entry expects it",
  bad_key: "the key is empty, repeated, too long or cannot be decoded",
} as const;

/** Look-ups in the catalogue in force; compiles each version once. */
export class CatalogueIndex {
  #version = 0;
  #compiled: CompiledCatalogue | undefined;

  /**
   * @param view - the catalogue in force
   */
  constructor(private readonly view: CatalogueView) {}

  /**
   * @param host - `Host` header
   * @param path - path of the request
   * @returns the entry that the request belongs to
   */
  match(
    host: string | undefined,
    path: string,
  ): { name: string; entry: Entry } | undefined {
    const { current } = this.view;
    if (current === undefined) return undefined;
    if (this.#version !== current.version) {
      this.#compiled = new CompiledCatalogue(current.document);
      this.#version = current.version;
    }
    return this.#compiled?.match(host, path);
  }

  /**
   * @param name - name of a service
   * @returns the service
   */
  findService(name: string): Service | undefined {
    const services = this.view.current?.document.services ?? {};
    return Object.hasOwn(services, name) ? services[name] : undefined;
  }

  /**
   * @param name - name of an entry
   * @returns the entry
   */
  findEntry(name: string): Entry | undefined {
    const entries = this.view.current?.document.entries ?? {};
    return Object.hasOwn(entries, name) ? entries[name] : undefined;
  }

  /**
   * @param source - where the entry's requests hold their key
   * @param req - target and headers of the request
   * @returns the key, undefined for services without keys, or the refusal
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
    const found = extractKey(source, { target: req.target, headers });
    if (found.isOk()) return ok(found.value);
    return err({
      code: found.error,
      outcome: "not_run",
      message: MESSAGES[found.error],
    });
  }
}
