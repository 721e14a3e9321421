import type { RoutingConfig } from "./routing_config.ts";

const WORK_TIME_EMA_WEIGHT = 0.05;
/** Latency objectives are about this many times the mean run time. */
const OBJECTIVE_TO_WORK_RATIO = 3;
/** Mean run time that is assumed for services without routes. */
const DEFAULT_WORK_MS = 200;

/**
 * Tracks the mean run time of requests at an average upstream, for each route.
 */
export class WorkTimes {
  readonly #means = new Map<string, number>();

  /**
   * @param route - name and latency objective of the route
   * @returns mean run time in milliseconds
   */
  mean(route: { name: string; objectiveMs: number }): number {
    return this.#means.get(route.name) ??
      route.objectiveMs / OBJECTIVE_TO_WORK_RATIO;
  }

  /**
   * @param service - name of a service
   * @param config - configuration whose routes lead to it
   * @returns the mean over the routes for which times were measured, in
   * milliseconds; over all routes if there are none
   */
  meanOfService(service: string, config: RoutingConfig | undefined): number {
    const routes = (config?.routes ?? []).filter(({ parts }) =>
      parts.some((part) => part.service === service)
    );
    const measured = routes.filter(({ name }) => this.#means.has(name));
    const means = (measured.length > 0 ? measured : routes).map((route) =>
      this.mean(route)
    );
    if (means.length === 0) return DEFAULT_WORK_MS;
    return means.reduce((sum, ms) => sum + ms, 0) / means.length;
  }

  /**
   * @param route - name and latency objective of the route
   * @param ms - time of a request, divided by the slowdown of its upstream
   */
  onTimed(route: { name: string; objectiveMs: number }, ms: number): void {
    const before = this.mean(route);
    this.#means.set(route.name, before + WORK_TIME_EMA_WEIGHT * (ms - before));
  }
}
