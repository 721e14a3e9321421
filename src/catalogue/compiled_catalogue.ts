import type { CatalogueDocument } from "./catalogue_document.ts";
import type { MatchedEntry } from "./matched_entry.ts";
import { normalizeHost } from "./normalize_host.ts";
import { pathSegments } from "./path_segments.ts";
import { prefixSegments } from "./prefix_segments.ts";

/** Node of a trie of path prefixes; a prefix ends at a node with an entry. */
type PrefixNode = {
  entry: MatchedEntry | undefined;
  children: Map<string, PrefixNode>;
};

function newNode(): PrefixNode {
  return { entry: undefined, children: new Map() };
}

/** Index of a catalogue document that finds the entry of a request. */
export class CompiledCatalogue {
  readonly #hosts = new Map<string, PrefixNode>();
  readonly #anyHost = newNode();

  /**
   * @param document - a document without violations, see `checkCatalogue`
   */
  constructor(document: CatalogueDocument) {
    for (const [name, entry] of Object.entries(document.entries)) {
      const service = Object.hasOwn(document.services, entry.service)
        ? document.services[entry.service]
        : undefined;
      const segments = prefixSegments(entry.match.pathPrefix);
      if (service === undefined || segments === undefined) continue;
      let node = this.#root(entry.match.host);
      for (const segment of segments) {
        let child = node.children.get(segment);
        if (child === undefined) {
          child = newNode();
          node.children.set(segment, child);
        }
        node = child;
      }
      node.entry ??= { name, entry, service };
    }
  }

  /**
   * Finds the entry of a request. Entries with the request's host take
   * precedence over entries without a host; among either, the longest prefix of
   * whole path segments wins.
   *
   * @param host - `Host` header of the request, if it has one
   * @param target - request target: path and query
   * @returns the entry of the request, or undefined if none matches
   */
  match(host: string | undefined, target: string): MatchedEntry | undefined {
    if (!target.startsWith("/")) return undefined;
    const queryStart = target.indexOf("?");
    const segments = pathSegments(
      queryStart < 0 ? target : target.slice(0, queryStart),
    );
    if (segments === undefined) return undefined;
    const root = host === undefined
      ? undefined
      : this.#hosts.get(normalizeHost(host));
    return (root === undefined ? undefined : longestPrefix(root, segments)) ??
      longestPrefix(this.#anyHost, segments);
  }

  #root(host: string | undefined): PrefixNode {
    if (host === undefined) return this.#anyHost;
    const name = normalizeHost(host);
    let root = this.#hosts.get(name);
    if (root === undefined) {
      root = newNode();
      this.#hosts.set(name, root);
    }
    return root;
  }
}

function longestPrefix(
  root: PrefixNode,
  segments: readonly string[],
): MatchedEntry | undefined {
  let found = root.entry;
  let node: PrefixNode | undefined = root;
  for (const segment of segments) {
    node = node.children.get(segment);
    if (node === undefined) break;
    found = node.entry ?? found;
  }
  return found;
}
