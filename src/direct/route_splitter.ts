import type { Route } from "./route.ts";

type Part = { service: string; weight: number; credit: number };

/**
 * Spreads the requests of each route over its services by smooth weighted round
 * robin, so that shares hold over few requests and on each VM by itself.
 */
export class RouteSplitter {
  readonly #parts = new Map<string, { key: string; parts: Part[] }>();

  /**
   * @param route - route of a request
   * @returns the service that is to run it
   */
  next(route: Route): string {
    const [first] = route.parts;
    if (route.parts.length === 1 && first !== undefined) return first.service;
    const parts = this.#of(route);
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

  #of(route: Route): Part[] {
    const key = JSON.stringify(route.parts);
    const known = this.#parts.get(route.name);
    if (known?.key === key) return known.parts;
    const total = route.parts.reduce((sum, part) => sum + part.weight, 0);
    // VMs start at different points, or all would send their first requests
    // to the same part.
    const parts = route.parts.filter((part) => part.weight > 0)
      .map((part) => ({ ...part, credit: Math.random() * total }));
    this.#parts.set(route.name, { key, parts });
    return parts;
  }
}
