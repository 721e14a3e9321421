import type { MiddlewareHandler } from "hono";
import type { AdminContext } from "./admin_context.ts";
import type { AdminEnv } from "./admin_env.ts";
import { findOperator } from "./find_operator.ts";
import { sendError } from "./send_error.ts";
import { TokenBucket } from "./token_bucket.ts";

// Limit how many audit rows clients without a valid credential can cause.
const AUDIT_BURST_ROWS = 5;
const AUDIT_ROW_INTERVAL_MS = 10_000;

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/**
 * Creates the middleware that requires an operator's credential.
 *
 * @param ctx - operators and audit trail
 * @returns middleware that rejects requests without a valid credential and
 * records them in the audit trail, at a limited rate
 */
export function checkCredential(
  ctx: AdminContext,
): MiddlewareHandler<AdminEnv> {
  const bucket = new TokenBucket({
    clock: ctx.clock,
    burst: AUDIT_BURST_ROWS,
    intervalMs: AUDIT_ROW_INTERVAL_MS,
  });
  let unrecorded = 0;

  function recordRejected(reason: "missing" | "wrong"): void {
    if (!bucket.takeToken()) {
      unrecorded += 1;
      return;
    }
    const details = { code: "unauthorized", credential: reason, unrecorded };
    unrecorded = 0;
    ctx.logger.warn(details, "request without valid credential");
    // Not awaited: the answer does not wait for the table service.
    void ctx.audit.writeRefused({
      actor: "unknown",
      action: "admin.request",
      version: 0,
      details,
    });
  }

  return async (c, next) => {
    const header = c.req.header("authorization");
    const credential = BEARER_PATTERN.exec(header ?? "")?.[1];
    const operator = credential === undefined
      ? undefined
      : findOperator(credential, ctx.operators);
    if (operator === undefined) {
      recordRejected(header === undefined ? "missing" : "wrong");
      c.header("www-authenticate", "Bearer");
      return sendError(c, {
        code: "unauthorized",
        message: "a valid operator credential is required",
        data: {},
      });
    }
    c.set("operator", operator);
    await next();
    return undefined;
  };
}
