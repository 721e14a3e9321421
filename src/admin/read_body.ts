import type { Context } from "hono";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { formatPath } from "../settings/format_path.ts";
import type { AdminError } from "./admin_error.ts";

/**
 * Reads a JSON body. Error messages show no value, because a body may contain a
 * key.
 *
 * @param c - the request's context
 * @param schema - what the body must match; an empty body counts as `{}`
 * @returns the checked body, or the error to answer with
 */
export async function readBody<Schema extends z.ZodType>(
  c: Context,
  schema: Schema,
): Promise<Result<z.infer<Schema>, AdminError>> {
  const text = await c.req.text();
  const fail = (message: string) =>
    err({ code: "bad_request" as const, message, data: {} });
  let value: unknown;
  try {
    value = text === "" ? {} : JSON.parse(text);
  } catch {
    return fail("the body is not JSON");
  }
  const checked = schema.safeParse(value);
  if (checked.success) return ok(checked.data);
  return fail(
    "the body is not as expected: " +
      checked.error.issues.map((issue) =>
        `${formatPath(issue.path.map(String))} (${issue.code})`
      ).join(", "),
  );
}
