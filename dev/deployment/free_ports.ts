import { readFileSync } from "node:fs";
import { createServer, type Server } from "node:net";

const RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";
const DEFAULT_RANGE_START = 32_768;
const PORTS_BELOW = 20_000;

function rangeStart(): number {
  try {
    return Number(readFileSync(RANGE_FILE, "utf8").split(/\s+/)[0]);
  } catch {
    return DEFAULT_RANGE_START;
  }
}

function listen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

/**
 * Finds ports for processes that must know their ports before they start. They
 * lie below the range from which the system takes ports of outgoing
 * connections: a port that the system chose was taken by such a connection
 * before the router listened on it.
 *
 * @param count - how many ports are needed
 * @returns that many loopback ports that were free a moment ago
 */
export async function freePorts(count: number): Promise<number[]> {
  const end = rangeStart();
  const ports: number[] = [];
  const servers: Server[] = [];
  while (ports.length < count) {
    const port = end - 1 - Math.floor(Math.random() * PORTS_BELOW);
    // All are held open together, so that no port is given twice.
    const server = await listen(port);
    if (server === undefined) continue;
    ports.push(port);
    servers.push(server);
  }
  await Promise.all(servers.map((server) =>
    new Promise((resolve) => {
      server.close(resolve);
    })
  ));
  return ports;
}
