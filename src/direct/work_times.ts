import type { RoutingConfig } from "./routing_config.ts";

const WEIGHT = 0.05;
/** Objectives leave room for about this many times the work itself. */
const OBJECTIVE_PER_WORK = 3;
/** For services without routes. */
const DEFAULT_MS = 200;

/** Mean time of a request's work at an average upstream, for each route. */
export class WorkTimes {
  readonly #means = new Map<string, number>();

  /**
   * @param route - name and latency objective of the route
   * @returns milliseconds
   */
  mean(route: { name: string; objectiveMs: number }): number {
    return this.#means.get(route.name) ??
      route.objectiveMs / OBJECTIVE_PER_WORK;
  }

  /**
   * @param service - name of a service
   * @param config - configuration whose routes lead to it
   * @returns the mean over the routes that were used lately, in milliseconds;
   * over all routes if none was
   */
  meanOfService(service: string, config: RoutingConfig | undefined): number {
    const routes = (config?.routes ?? []).filter(({ parts }) =>
      parts.some((part) => part.service === service)
    );
    const used = routes.filter(({ name }) => this.#means.has(name));
    const means = (used.length > 0 ? used : routes).map((one) =>
      this.mean(one)
    );
    if (means.length === 0) return DEFAULT_MS;
    return means.reduce((sum, ms) => sum + ms, 0) / means.length;
  }

  /**
   * @param route - name and latency objective of the route
   * @param ms - time of an answer, less the slowness of its upstream
   */
  onTimed(route: { name: string; objectiveMs: number }, ms: number): void {
    const before = this.mean(route);
    this.#means.set(route.name, before + WEIGHT * (ms - before));
  }
}
