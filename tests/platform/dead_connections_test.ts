import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { listenOn } from "../../dev/standins/listen_on.ts";
import { TableClient } from "../../platform/table_client.ts";
import { systemClock } from "../../src/base/system_clock.ts";

const IDLE_CONNECTIONS = 4;
const BODY = JSON.stringify({ rows: [], rowVersion: 7, now: "5ms" });
const RESPONSE = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
  `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;

describe("TableClient on dead connections", () => {
  // Guards against one timeout after the other, on each idle connection that
  // went silent with the first.
  it("uses new connections after a call without response", async () => {
    const dead = new Set<Socket>();
    const sockets = new Set<Socket>();
    const waiting = new Set<Socket>();
    let allArrived = (): void => undefined;
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("data", () => {
        if (dead.has(socket)) return;
        if (sockets.size > IDLE_CONNECTIONS) {
          socket.write(RESPONSE);
          return;
        }
        waiting.add(socket);
        if (waiting.size === IDLE_CONNECTIONS) allArrived();
      });
    });
    const port = await listenOn(server, 0);
    const client = new TableClient({
      address: `127.0.0.1:${port}`,
      clock: systemClock,
    });
    try {
      const { signal } = new AbortController();
      const feed = (end: AbortSignal) =>
        client.waitForChanges({ table: "t", after: 1, waitMs: 0 }, end);

      const arrived = new Promise<void>((resolve) => {
        allArrived = resolve;
      });
      const calls = Array.from(
        { length: IDLE_CONNECTIONS },
        () => feed(signal),
      );
      await arrived;
      for (const socket of waiting) socket.write(RESPONSE);
      for (const read of await Promise.all(calls)) assert.ok(read.isOk());
      for (const socket of sockets) dead.add(socket);

      const end = new AbortController();
      const lost = feed(end.signal);
      setImmediate(() => end.abort());
      assert.equal((await lost)._unsafeUnwrapErr().kind, "unknown");
      const next = await client.readTable("t", signal);
      assert.equal(next._unsafeUnwrap().version, 7);
    } finally {
      await client.close();
      for (const socket of sockets) socket.destroy();
      server.close();
    }
  });
});
