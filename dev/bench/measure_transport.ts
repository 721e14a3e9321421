import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { z } from "zod";
import { systemClock } from "../../src/base/system_clock.ts";
import { rpcServer } from "../../src/links/rpc_server.ts";
import { HttpPeerClient } from "../../src/vms/http_peer_client.ts";
import { quietLogger } from "./quiet_logger.ts";

const CALLS = 1500;
const AT_A_TIME = 10;
const WARM_UP = 300;

/**
 * Measures a JSON-RPC call over loopback with an empty body, both ends
 * together.
 *
 * @returns processor time in microseconds and bytes for each call
 */
export async function measureTransport(): Promise<Record<string, number>> {
  const stop = new AbortController();
  const handle = rpcServer({
    handlers: [{
      method: "empty",
      params: z.looseObject({}),
      handle: () => Promise.resolve({}),
    }],
    credential: "credential",
    logger: quietLogger,
    signal: stop.signal,
  });
  const sockets: Socket[] = [];
  const server = createServer((req, res) => void handle(req, res));
  server.on("connection", (socket: Socket) => sockets.push(socket));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const client = new HttpPeerClient({
    credential: "credential",
    clock: systemClock,
    signal: stop.signal,
  });
  const call = () =>
    client.call({
      peerUrl: `http://127.0.0.1:${port}`,
      method: "empty",
      params: {},
      result: z.looseObject({}),
      timeoutMs: 5000,
    }, stop.signal);
  const calls = async (count: number) => {
    for (let done = 0; done < count; done += AT_A_TIME) {
      const results = await Promise.all(
        Array.from({ length: AT_A_TIME }, () => call()),
      );
      if (results.some((result) => result.isErr())) {
        throw new Error("a call failed");
      }
    }
  };
  const bytes = () =>
    sockets.reduce(
      (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
      0,
    );
  await calls(WARM_UP);
  const before = { cpu: process.cpuUsage(), bytes: bytes() };
  await calls(CALLS);
  const { user, system } = process.cpuUsage(before.cpu);
  const bytesPerCall = (bytes() - before.bytes) / CALLS;
  stop.abort();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return {
    bothEndsUs: (user + system) / CALLS,
    bytesPerCall,
  };
}
