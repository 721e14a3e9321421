import { normalizeHost } from "../catalogue/normalize_host.ts";
import type { Route } from "./route.ts";

/** Finds the route of a request by host and longest path prefix. */
export class RouteMatcher {
  /** Routes of each host, longest prefix first. */
  readonly #byHost = new Map<string, Route[]>();

  /**
   * @param routes - all routes of one configuration
   */
  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = normalizeHost(route.host);
      const known = this.#byHost.get(host);
      if (known === undefined) this.#byHost.set(host, [route]);
      else known.push(route);
    }
    for (const known of this.#byHost.values()) {
      known.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /**
   * @param host - value of the Host header; a port is ignored
   * @param target - path and query
   * @returns the route, or undefined if none matches
   */
  match(host: string | undefined, target: string): Route | undefined {
    if (host === undefined) return undefined;
    const name = normalizeHost(host);
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    return this.#byHost.get(name)?.find(({ prefix }) =>
      path.startsWith(prefix)
    );
  }
}
