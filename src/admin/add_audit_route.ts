import type { Hono } from "hono";
import { z } from "zod";
import type { AdminContext } from "./admin_context.ts";
import type { AdminEnv } from "./admin_env.ts";
import { sendError } from "./send_error.ts";

const MAX_SEARCHED_HOURS = 168;
const MAX_ROW_LIMIT = 500;

const AuditQuery = z.object({
  before: z.iso.datetime().optional(),
  hours: z.coerce.number().int().min(1).max(MAX_SEARCHED_HOURS).default(24),
  limit: z.coerce.number().int().min(1).max(MAX_ROW_LIMIT).default(50),
});

/**
 * Adds the route that reads the audit trail.
 *
 * @param app - receives the route
 * @param ctx - audit trail and clock
 */
export function addAuditRoute(app: Hono<AdminEnv>, ctx: AdminContext): void {
  app.get("/v1/audit", async (c) => {
    const query = AuditQuery.safeParse(c.req.query());
    if (!query.success) {
      return sendError(c, {
        code: "bad_request",
        message: "before is a time such as 2026-01-31T12:00:00Z, hours is " +
          `from 1 to ${MAX_SEARCHED_HOURS}, limit is from 1 to ${MAX_ROW_LIMIT}`,
        data: {},
      });
    }
    const { hours, limit } = query.data;
    const before = query.data.before === undefined
      // `before` is exclusive: 1 ms more includes rows of this millisecond.
      ? new Date(ctx.clock.wallTime().getTime() + 1)
      : new Date(query.data.before);
    const page = await ctx.audit.read({ before, hours, limit }, ctx.signal);
    return page.match(
      (rows) => c.json(rows),
      ({ message }) =>
        sendError(c, {
          code: "unavailable",
          message: `the table service is unavailable: ${message}`,
          data: {},
        }),
    );
  });
}
