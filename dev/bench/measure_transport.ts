import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { z } from "zod";
import { systemClock } from "../../src/base/system_clock.ts";
import { rpcServer } from "../../src/links/rpc_server.ts";
import { HttpPeerClient } from "../../src/vms/http_peer_client.ts";
import { quietLogger } from "./quiet_logger.ts";

const MEASURED_CALLS = 1500;
const CONCURRENT_CALLS = 10;
const WARM_UP_CALLS = 300;

/**
 * Measures a JSON-RPC call with empty parameters and result over loopback,
 * client and server together.
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
  const makeCalls = async (count: number) => {
    for (let done = 0; done < count; done += CONCURRENT_CALLS) {
      const results = await Promise.all(
        Array.from({ length: CONCURRENT_CALLS }, () => call()),
      );
      if (results.some((result) => result.isErr())) {
        throw new Error("a JSON-RPC call over loopback failed");
      }
    }
  };
  const transferredBytes = () =>
    sockets.reduce(
      (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
      0,
    );
  await makeCalls(WARM_UP_CALLS);
  const before = { cpu: process.cpuUsage(), bytes: transferredBytes() };
  await makeCalls(MEASURED_CALLS);
  const { user, system } = process.cpuUsage(before.cpu);
  const bytesPerCall = (transferredBytes() - before.bytes) / MEASURED_CALLS;
  stop.abort();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  return {
    bothEndsUs: (user + system) / MEASURED_CALLS,
    bytesPerCall,
  };
}
