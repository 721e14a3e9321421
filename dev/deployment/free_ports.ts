import { readFileSync } from "node:fs";
import { createServer, type Server } from "node:net";

const RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";
const DEFAULT_RANGE_START = 32_768;
const PORTS_BELOW = 20_000;
/** The first port of a block is its lock, the others are given out. */
const BLOCK_PORTS = 50;

/** Ports of this process's blocks that have not been given out yet. */
const unused: number[] = [];

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

/** Takes a block for as long as this process lives. */
async function takeBlock(): Promise<void> {
  const blocks = Math.floor(PORTS_BELOW / BLOCK_PORTS);
  for (;;) {
    const block = Math.floor(Math.random() * blocks);
    const first = rangeStart() - PORTS_BELOW + block * BLOCK_PORTS;
    const lock = await listen(first);
    if (lock === undefined) continue;
    lock.unref();
    for (let port = first + 1; port < first + BLOCK_PORTS; port += 1) {
      unused.push(port);
    }
    return;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/**
 * Finds ports for processes that must know their ports before they start. They
 * lie below the range from which the system takes ports of outgoing
 * connections, and in blocks that each belong to one process: a port that is
 * free now is taken by nobody else before its user listens on it.
 *
 * @param count - how many ports are needed
 * @returns that many free loopback ports, each given out only once
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = unused.shift();
    if (port === undefined) await takeBlock();
    else if (await isFree(port)) ports.push(port);
  }
  return ports;
}
