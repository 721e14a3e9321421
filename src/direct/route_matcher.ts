import { normalizeHost } from "../catalogue/normalize_host.ts";
import type { Route } from "./route.ts";

type Match =
  | { kind: "route"; route: Route }
  /** The configuration has a route here that cannot be used. */
  | { kind: "unusable" }
  | { kind: "none" };
type Candidate = {
  prefix: string;
  match: Exclude<Match, { kind: "none" }>;
};

/** Finds the route of a request by host and longest path prefix. */
export class RouteMatcher {
  /** Routes of each host, longest prefix first. */
  readonly #byHost = new Map<string, Candidate[]>();

  /**
   * @param routes - all routes of one configuration
   * @param unusable - hosts and prefixes of its routes that cannot be used
   */
  constructor(
    routes: readonly Route[],
    unusable: readonly Pick<Route, "host" | "prefix">[] = [],
  ) {
    for (const { host, prefix } of unusable) {
      this.#add(host, { prefix, match: { kind: "unusable" } });
    }
    for (const route of routes) {
      const { host, prefix } = route;
      this.#add(host, { prefix, match: { kind: "route", route } });
    }
    for (const known of this.#byHost.values()) {
      known.sort((a, b) => b.prefix.length - a.prefix.length);
    }
  }

  /**
   * @param host - value of the Host header; a port is ignored
   * @param target - path and query
   * @returns the route, whether it is unusable, or that there is none
   */
  match(host: string | undefined, target: string): Match {
    if (host === undefined) return { kind: "none" };
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    const found = this.#byHost.get(normalizeHost(host))?.find(({ prefix }) =>
      path.startsWith(prefix)
    );
    return found?.match ?? { kind: "none" };
  }

  #add(host: string, candidate: Candidate): void {
    const name = normalizeHost(host);
    const known = this.#byHost.get(name);
    if (known === undefined) this.#byHost.set(name, [candidate]);
    else known.push(candidate);
  }
}
