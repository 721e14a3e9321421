import type { AddressInfo, Server } from "node:net";

/**
 * @param server - server that is not listening yet
 * @param port - loopback port, 0 for one that the system chooses
 * @returns the port that the server listens on
 */
export function listenOn(server: Server, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", 1024, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
