import type { AddressInfo } from "node:net";
import { createAdaptorServer } from "@hono/node-server";
import type { AdminBench } from "./admin_bench.ts";

type Served = { url: string; close: () => Promise<void> };

/**
 * Serves a bench on a loopback port and advances its clock in the background.
 *
 * @param bench - the administration interface
 * @returns the URL, and a function that closes the server
 */
export async function serveAdmin(bench: AdminBench): Promise<Served> {
  const server = createAdaptorServer({ fetch: bench.app.fetch });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const running = { value: true };
  const clock = (async () => {
    while (running.value) await bench.clock.advance(10);
  })();
  return {
    url: `http://127.0.0.1:${port}`,
    async close() {
      await new Promise((resolve) => server.close(resolve));
      running.value = false;
      await clock;
    },
  };
}
