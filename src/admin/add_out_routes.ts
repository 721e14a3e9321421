import type { Hono } from "hono";
import { z } from "zod";
import { Name } from "../catalogue/name.ts";
import type { AdminContext } from "./admin_context.ts";
import type { AdminEnv } from "./admin_env.ts";
import { changeOut } from "./change_out.ts";
import { checkStoreContact } from "./check_store_contact.ts";
import { readBody } from "./read_body.ts";
import { sendError } from "./send_error.ts";
import { streamProgress } from "./stream_progress.ts";

const OutBody = z.strictObject({ force: z.boolean().default(false) });

const COLLECTIONS = [
  { path: "domains", kind: "failureDomain" },
  { path: "vms", kind: "vm" },
] as const;

/**
 * Adds the routes that take VMs and failure domains out of and into service.
 *
 * @param app - receives the routes
 * @param ctx - catalogue editor, audit trail, VM list and members
 */
export function addOutRoutes(app: Hono<AdminEnv>, ctx: AdminContext): void {
  for (const { path, kind } of COLLECTIONS) {
    for (const direction of ["out", "in"] as const) {
      app.post(`/v1/${path}/:name/${direction}`, async (c) => {
        const body = await readBody(c, OutBody);
        if (body.isErr()) return sendError(c, body.error);
        const name = Name.safeParse(c.req.param("name"));
        if (!name.success) {
          return sendError(c, {
            code: "bad_request",
            message: "the name is not a valid name",
            data: {},
          });
        }
        const contact = checkStoreContact(ctx);
        if (contact.isErr()) return sendError(c, contact.error);
        const operator = c.get("operator");
        const result = await changeOut(ctx, {
          kind,
          name: name.data,
          out: direction === "out",
          force: body.value.force,
          operator,
        });
        if (result.isErr()) return sendError(c, result.error);
        const { version, changed } = result.value;
        ctx.logger.info(
          {
            code: `${kind}_${direction}`,
            target: name.data,
            version,
            changed,
            operator,
          },
          "request to take a VM or failure domain out or in completed",
        );
        return streamProgress(c, ctx, result.value);
      });
    }
  }
}
