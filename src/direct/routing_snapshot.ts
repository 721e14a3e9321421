import type { RequestCredential } from "../tenants/request_credential.ts";
import type { Tenant } from "../tenants/tenant.ts";
import type { Route } from "./route.ts";
import { RouteMatcher } from "./route_matcher.ts";
import type { RoutingConfig } from "./routing_config.ts";

type Selection =
  | {
    kind: "route";
    /** With the priority and the regions that apply to the tenant. */
    route: Route;
    /** Undefined if the route or the configuration requires no key. */
    tenant?: Tenant;
  }
  /** The configuration has a route here that cannot be used. */
  | { kind: "unusable" }
  | { kind: "none" }
  /** The route requires a key, and the request has none of the configuration. */
  | { kind: "unknown_credential" }
  /** No region is allowed both to the route and to the tenant. */
  | { kind: "no_region"; tenant: Tenant };

/**
 * Routes and tenants of one configuration. A request takes both from the same
 * snapshot, so that a key which a newer configuration gives to another tenant
 * never combines with a route or tenant of the older one.
 */
export class RoutingSnapshot {
  readonly matcher: RouteMatcher;
  /** Tenants by the digests of their keys; undefined if no keys are required. */
  readonly #tenantOfDigest: ReadonlyMap<string, Tenant> | undefined;
  /** Routes as they apply to tenants with own priority or regions. */
  readonly #adapted = new Map<Tenant, Map<Route, Route>>();

  /**
   * @param config - routes and tenants of one configuration
   */
  constructor(
    config: Pick<RoutingConfig, "routes" | "unusableRoutes" | "tenants">,
  ) {
    this.matcher = new RouteMatcher(config.routes, config.unusableRoutes);
    this.#tenantOfDigest = config.tenants === undefined ? undefined : new Map(
      config.tenants.flatMap((tenant) =>
        tenant.keyDigests.map((digest) => [digest, tenant] as const)
      ),
    );
  }

  /**
   * @param host - value of the Host header
   * @param target - path and query
   * @param credential - key of the request; undefined counts as none
   * @returns the route and the tenant of the request, or why there is none
   */
  select(
    host: string | undefined,
    target: string,
    credential: RequestCredential | undefined,
  ): Selection {
    const match = this.matcher.match(host, target);
    if (
      match.kind !== "route" || this.#tenantOfDigest === undefined ||
      match.route.public === true
    ) return match;
    const tenant = this.#tenantOf(credential);
    if (tenant === undefined) return { kind: "unknown_credential" };
    const route = this.#adapt(match.route, tenant);
    return route === undefined
      ? { kind: "no_region", tenant }
      : { kind: "route", route, tenant };
  }

  /**
   * @param credential - key of a request in flight
   * @returns whether the request may still be sent: the configuration contains
   * the key, or requires none
   */
  accepts(credential: RequestCredential | undefined): boolean {
    return this.#tenantOfDigest === undefined ||
      this.#tenantOf(credential) !== undefined;
  }

  #tenantOf(credential: RequestCredential | undefined): Tenant | undefined {
    const digest = credential?.digest;
    return digest === undefined ? undefined : this.#tenantOfDigest?.get(digest);
  }

  /**
   * Returns the route with the tenant's priority and with the regions that are
   * allowed to both; undefined if there is no such region.
   */
  #adapt(route: Route, tenant: Tenant): Route | undefined {
    const { priority = route.priority, homeRegions } = tenant;
    if (priority === route.priority && homeRegions.length === 0) return route;
    const known = this.#adapted.get(tenant)?.get(route);
    if (known !== undefined) return known;
    const both = homeRegions.length === 0
      ? route.homeRegions
      : route.homeRegions.length === 0
      ? homeRegions
      : homeRegions.filter((region) => route.homeRegions.includes(region));
    // An empty list would mean all regions.
    if (both.length === 0 && homeRegions.length > 0) return undefined;
    const adapted = { ...route, priority, homeRegions: both };
    const ofTenant = this.#adapted.get(tenant) ?? new Map<Route, Route>();
    this.#adapted.set(tenant, ofTenant.set(route, adapted));
    return adapted;
  }
}
