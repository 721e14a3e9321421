import { createAdaptorServer } from "@hono/node-server";
import type { Server } from "node:http";
import { createAdminApp } from "../admin/create_admin_app.ts";
import type { DaemonContext } from "./daemon_context.ts";
import type { Membership } from "./membership.ts";

/** The HTTP listener of the administration interface. */
export class AdminListener {
  readonly #server: Server;

  /**
   * @param context - settings, views and clients that the process shares
   * @param membership - store contact, VM list and the client for other routers
   */
  constructor(context: DaemonContext, membership: Membership) {
    const { cfg, clock, logger, platform, self, signal, views } = context;
    const app = createAdminApp({
      vm: self.vm,
      region: self.region,
      operators: cfg.admin.operators,
      table: platform.table,
      vmList: platform.vmList,
      peers: membership.peers,
      catalogue: views.catalogue,
      assignments: views.assignments,
      members: views.members,
      contact: membership.contact,
      clock,
      logger,
      signal,
    });
    this.#server = createAdaptorServer({ fetch: app.fetch }) as Server;
  }

  /**
   * @param address - `IP:PORT`
   * @returns a promise that resolves once the server listens; rejects if the
   * address cannot be listened on
   */
  async listen(address: string): Promise<void> {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(Number(address.slice(colon + 1)), host, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /** Closes the listener and all of its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
