import type { Context } from "hono";
import type { AdminError } from "./admin_error.ts";
import { ADMIN_STATUS } from "./admin_status.ts";

/**
 * Answers a request with an error.
 *
 * @param c - the request's context
 * @param error - the error to answer with
 * @returns the answer with the status of the error's code
 */
export function sendError(c: Context, error: AdminError): Response {
  return c.json(error, ADMIN_STATUS[error.code]);
}
