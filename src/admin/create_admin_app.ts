import { Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { CatalogueEditor } from "../catalogue/catalogue_editor.ts";
import { PeerCatalogueMembers } from "../catalogue/peer_catalogue_members.ts";
import { addAuditRoute } from "./add_audit_route.ts";
import { addCatalogueRoutes } from "./add_catalogue_routes.ts";
import { addListRoutes } from "./add_list_routes.ts";
import { addOutRoutes } from "./add_out_routes.ts";
import { addStatusRoute } from "./add_status_route.ts";
import type { AdminContext } from "./admin_context.ts";
import type { AdminDeps } from "./admin_deps.ts";
import type { AdminEnv } from "./admin_env.ts";
import { AuditTrail } from "./audit_trail.ts";
import { checkCredential } from "./check_credential.ts";
import { sendError } from "./send_error.ts";

const MAX_BODY_BYTES = 1024 * 1024;

/**
 * Builds the administration interface of a router.
 *
 * @param deps - what the interface reads and changes
 * @returns an app whose routes are all below `/v1` and need a credential
 */
export function createAdminApp(deps: AdminDeps): Hono<AdminEnv> {
  const ctx: AdminContext = {
    ...deps,
    editor: new CatalogueEditor(deps),
    catalogueMembers: new PeerCatalogueMembers(deps),
    audit: new AuditTrail(deps),
  };
  const app = new Hono<AdminEnv>();
  app.use(checkCredential(ctx));
  app.use(bodyLimit({
    maxSize: MAX_BODY_BYTES,
    onError: (c) =>
      sendError(c, {
        code: "body_too_large",
        message: `the body is larger than ${MAX_BODY_BYTES} bytes`,
        data: { maxBytes: MAX_BODY_BYTES },
      }),
  }));
  addCatalogueRoutes(app, ctx);
  addOutRoutes(app, ctx);
  addListRoutes(app, ctx);
  addStatusRoute(app, ctx);
  addAuditRoute(app, ctx);
  app.notFound((c) =>
    sendError(c, {
      code: "not_found",
      message: "there is no such route",
      data: {},
    })
  );
  app.onError((error, c) => {
    // Logs the frames only: the message, with which the stack starts, could
    // quote a body that contains a key.
    const stack = error.stack?.split("\n").filter((line) =>
      line.startsWith("    at ")
    );
    deps.logger.error(
      { code: "admin_request_failed", error: error.name, stack },
      "request to the administration interface failed",
    );
    return sendError(c, {
      code: "internal",
      message: "the request failed, see the log of the router",
      data: {},
    });
  });
  return app;
}
