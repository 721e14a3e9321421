import { readFileSync } from "node:fs";
import { createServer, type Server } from "node:net";

const EPHEMERAL_RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";
const DEFAULT_EPHEMERAL_RANGE_START = 32_768;
/** Blocks are reserved among this many ports below the ephemeral range. */
const PORTS_FOR_BLOCKS = 20_000;
/**
 * The first port of a block is its lock: the process that listens on it owns
 * the block and hands out the other ports.
 */
const PORTS_PER_BLOCK = 50;

/** Ports of this process's blocks that have not been handed out yet. */
const unusedPorts: number[] = [];

function ephemeralRangeStart(): number {
  try {
    return Number(readFileSync(EPHEMERAL_RANGE_FILE, "utf8").split(/\s+/)[0]);
  } catch {
    return DEFAULT_EPHEMERAL_RANGE_START;
  }
}

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

/** Reserves a block until this process ends. */
async function reserveBlock(): Promise<void> {
  const blocks = Math.floor(PORTS_FOR_BLOCKS / PORTS_PER_BLOCK);
  for (;;) {
    const block = Math.floor(Math.random() * blocks);
    const first = ephemeralRangeStart() - PORTS_FOR_BLOCKS +
      block * PORTS_PER_BLOCK;
    const lock = await tryListen(first);
    if (lock === undefined) continue;
    lock.unref();
    for (let port = first + 1; port < first + PORTS_PER_BLOCK; port += 1) {
      unusedPorts.push(port);
    }
    return;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/**
 * Finds free ports for processes that must know their ports before they start.
 * The ports lie below the ephemeral range, from which the system takes the
 * ports of outgoing connections, and in blocks that each belong to one process.
 * So nothing else takes a port between this check and the time when the process
 * listens on it.
 *
 * @param count - number of ports
 * @returns that many free loopback ports, each handed out only once
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = unusedPorts.shift();
    if (port === undefined) await reserveBlock();
    else if (await isFree(port)) ports.push(port);
  }
  return ports;
}
