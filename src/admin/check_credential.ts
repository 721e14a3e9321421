import type { MiddlewareHandler } from "hono";
import type { AdminContext } from "./admin_context.ts";
import type { AdminEnv } from "./admin_env.ts";
import { findOperator } from "./find_operator.ts";
import { sendError } from "./send_error.ts";
import { TokenBucket } from "./token_bucket.ts";

// Bounds what a client without credential can write to the table service.
const AUDIT_BURST = 5;
const AUDIT_INTERVAL_MS = 10_000;

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/**
 * @param ctx - operators and audit trail
 * @returns middleware that lets only operators through; other attempts are
 * audited, at a limited rate
 */
export function checkCredential(
  ctx: AdminContext,
): MiddlewareHandler<AdminEnv> {
  const bucket = new TokenBucket({
    clock: ctx.clock,
    burst: AUDIT_BURST,
    intervalMs: AUDIT_INTERVAL_MS,
  });
  let unrecorded = 0;

  function record(reason: "missing" | "wrong"): void {
    if (!bucket.take()) {
      unrecorded += 1;
      return;
    }
    const details = { code: "unauthorized", credential: reason, unrecorded };
    unrecorded = 0;
    ctx.logger.warn(details, "request without valid credential");
    // The answer does not wait for the store.
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
      record(header === undefined ? "missing" : "wrong");
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
