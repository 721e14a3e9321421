import type { AddressInfo, Server } from "node:net";

/**
 * Starts a server on the loopback interface.
 *
 * @param server - server that is not listening yet
 * @param port - loopback port, 0 for a free one
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
