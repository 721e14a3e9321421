import { err, ok, type Result } from "neverthrow";
import type { AdminContext } from "./admin_context.ts";
import type { AdminError } from "./admin_error.ts";

/**
 * Checks that the router may make changes. A router that has lost contact with
 * the store makes none, even if a single call would succeed again.
 *
 * @param ctx - contact with the store
 * @returns nothing, or the error to answer with
 */
export function checkStoreContact(ctx: AdminContext): Result<void, AdminError> {
  const mode = ctx.contact.mode();
  if (mode !== "outage" && mode !== "cut_off") return ok(undefined);
  return err({
    code: "router_not_current",
    message: `router ${ctx.vm} has no contact with the table service (${mode})`,
    data: { vm: ctx.vm, mode },
  });
}
