/**
 * @param route - host and path prefix of a route
 * @returns how findings and differences name it
 */
export function routeLabel(route: { host: string; prefix: string }): string {
  return `route ${route.host}${route.prefix}`;
}
