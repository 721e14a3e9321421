import type { Route } from "./route.ts";

type Part = { service: string; weight: number; credit: number };

/**
 * Splits the requests of each route among its services by smooth weighted
 * round-robin, so that the weights hold even over few requests and on each VM
 * separately.
 */
export class RouteSplitter {
  readonly #parts = new Map<string, { key: string; parts: Part[] }>();

  /**
   * Chooses the service for the next request of a route.
   *
   * @param route - route of the request
   * @returns name of the service that is to run it; throws if the route has
   * several services and none has a positive weight
   */
  next(route: Route): string {
    const [first] = route.parts;
    if (route.parts.length === 1 && first !== undefined) return first.service;
    const parts = this.#partsOf(route);
    let total = 0;
    let best: Part | undefined;
    for (const part of parts) {
      total += part.weight;
      part.credit += part.weight;
      if (best === undefined || part.credit > best.credit) best = part;
    }
    if (best === undefined) throw new Error(`route ${route.name} has no part`);
    best.credit -= total;
    return best.service;
  }

  #partsOf(route: Route): Part[] {
    const key = JSON.stringify(route.parts);
    const known = this.#parts.get(route.name);
    if (known?.key === key) return known.parts;
    const total = route.parts.reduce((sum, part) => sum + part.weight, 0);
    // Initial credits are random, since otherwise all VMs would send their
    // first requests to the same service.
    const parts = route.parts.filter((part) => part.weight > 0)
      .map((part) => ({ ...part, credit: Math.random() * total }));
    this.#parts.set(route.name, { key, parts });
    return parts;
  }
}
