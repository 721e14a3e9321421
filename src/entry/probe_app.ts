import { Hono } from "hono";

/**
 * Creates the routes for the platform's health checks.
 *
 * @param isReady - whether the load balancer may send requests to this router
 * @returns an app with `/-/live` and `/-/ready`
 */
export function probeApp(isReady: () => boolean): Hono {
  const app = new Hono();
  app.get("/-/live", (c) => c.json({ live: true }));
  app.get("/-/ready", (c) => {
    const ready = isReady();
    return c.json({ ready }, ready ? 200 : 503);
  });
  return app;
}
