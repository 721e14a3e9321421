import type { Hono } from "hono";
import { z } from "zod";
import { checkKey } from "../catalogue/check_key.ts";
import type { AdminContext } from "./admin_context.ts";
import type { AdminEnv } from "./admin_env.ts";
import { describeAssignment } from "./describe_assignment.ts";
import { describeDomains } from "./describe_domains.ts";
import { describeUpstreams } from "./describe_upstreams.ts";
import { describeVms } from "./describe_vms.ts";
import { readBody } from "./read_body.ts";
import { readInventory } from "./read_inventory.ts";
import { sendError } from "./send_error.ts";

const AssignmentBody = z.strictObject({
  service: z.string(),
  key: z.string().refine((key) => checkKey(key).isOk()),
});

/**
 * Adds the routes that list VMs, failure domains and upstreams, and the one
 * that shows the owner of a key.
 *
 * @param app - receives the routes
 * @param ctx - catalogue and assignment views, VM list and members
 */
export function addListRoutes(app: Hono<AdminEnv>, ctx: AdminContext): void {
  const namesOut = () =>
    ctx.catalogue.current?.document.out ?? { failureDomains: [], vms: [] };

  app.get(
    "/v1/vms",
    async (c) => c.json(describeVms(await readInventory(ctx), namesOut())),
  );
  app.get("/v1/domains", async (c) => {
    const vms = describeVms(await readInventory(ctx), namesOut());
    return c.json(describeDomains(vms));
  });
  app.get("/v1/upstreams", async (c) => {
    const rows = ctx.assignments.all().map(({ row }) => row);
    const inventory = await readInventory(ctx);
    return c.json(describeUpstreams(inventory, rows, namesOut()));
  });
  app.post("/v1/assignment", async (c) => {
    const body = await readBody(c, AssignmentBody);
    if (body.isErr()) return sendError(c, body.error);
    const catalogue = ctx.catalogue.current;
    if (catalogue === undefined) {
      return sendError(c, {
        code: "no_catalogue",
        message: `router ${ctx.vm} has no catalogue in force`,
        data: {},
      });
    }
    return describeAssignment(body.value, catalogue, ctx.assignments).match(
      (answer) => c.json(answer),
      (error) => sendError(c, error),
    );
  });
}
