import { type AddressInfo, createServer, type Server } from "node:net";

function listen(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

/**
 * @param count - how many ports are needed
 * @returns that many loopback ports that were free a moment ago
 */
export async function freePorts(count: number): Promise<number[]> {
  // All are held open together, so that no port is given twice.
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) =>
    new Promise((resolve) => {
      server.close(resolve);
    })
  ));
  return ports;
}
