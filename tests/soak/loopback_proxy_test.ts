import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { connect, createServer, type Socket } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { LoopbackProxy } from "../../dev/soak/loopback_proxy.ts";
import type { LinkFault } from "../../dev/soak/link_fault.ts";
import { listenOn } from "../../dev/standins/listen_on.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { RawUpstream } from "../support/raw_upstream.ts";

const SETTLE_MS = 80;
const POLL_INTERVAL_MS = 10;
const MAX_POLLS = 1000;
/** Sends what it reads, until it is killed. */
const SENDER_PROGRAM = `
const socket = require("node:net").connect(process.argv[1], "127.0.0.1");
process.stdin.on("data", (data) => socket.write(data));`;

async function connectThroughProxy() {
  const upstream = await new RawUpstream((socket, text) => {
    socket.write(`re:${text}`);
  }).listen();
  const proxy = new LoopbackProxy(upstream.port);
  const port = await proxy.listen();
  const received = { text: "", closed: false };
  const socket: Socket = connect(port, "127.0.0.1");
  socket.on("data", (data: Buffer) => {
    received.text += data.toString();
  });
  socket.on("error", () => undefined);
  socket.on("close", () => {
    received.closed = true;
  });
  await new Promise((resolve) => socket.once("connect", resolve));
  const close = () => {
    socket.destroy();
    proxy.close();
    upstream.close();
  };
  return { proxy, socket, received, close };
}

const CASES: readonly {
  fault: LinkFault;
  /** Text received while the fault lasts, and after it has ended. */
  during: string;
  after: string;
  closed: boolean;
}[] = [
  { fault: { kind: "none" }, during: "re:a", after: "re:a", closed: false },
  {
    fault: { kind: "delayed", ms: 200 },
    during: "",
    after: "re:a",
    closed: false,
  },
  { fault: { kind: "silent" }, during: "", after: "re:a", closed: false },
  { fault: { kind: "one_way" }, during: "", after: "re:a", closed: false },
  { fault: { kind: "reset" }, during: "", after: "", closed: true },
];

describe("LoopbackProxy", () => {
  for (const { fault, during, after, closed } of CASES) {
    it(`forwards connections with the fault ${fault.kind}`, async () => {
      const { proxy, socket, received, close } = await connectThroughProxy();
      await systemClock.sleep(SETTLE_MS);
      proxy.setFault(fault);
      socket.write("a");
      await systemClock.sleep(SETTLE_MS);
      assert.equal(received.text, during);
      proxy.setFault({ kind: "none" });
      await systemClock.sleep(5 * SETTLE_MS);
      assert.equal(received.text, after);
      assert.equal(received.closed, closed);
      close();
    });
  }
});

/** What a target has received on one connection. */
type Received = {
  socket: Socket;
  text: string;
  closed: "open" | "ended" | "reset";
};

async function poll(isDone: () => boolean): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS && !isDone(); polls++) {
    await systemClock.sleep(POLL_INTERVAL_MS);
  }
}

/** Starts a proxy to a target that records what it receives. */
async function startProxy(test: TestContext) {
  const connections: Received[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    const one: Received = { socket, text: "", closed: "open" };
    connections.push(one);
    socket.on("data", (data: Buffer) => {
      one.text += data.toString();
    });
    socket.on("end", () => {
      one.closed = "ended";
    });
    socket.on("error", () => {
      one.closed = "reset";
    });
  });
  const clock = new ManualClock();
  const proxy = new LoopbackProxy(await listenOn(server, 0), clock);
  const port = await proxy.listen();
  test.after(() => {
    proxy.close();
    server.close();
    for (const { socket } of connections) socket.destroy();
  });
  const received = () =>
    connections.map(({ text, closed }) => `${text} ${closed}`);
  return {
    proxy,
    clock,
    port,
    connections,
    /** Waits until the target has received this, or for some seconds. */
    receives: async (...expected: string[]): Promise<void> => {
      await poll(() => received().join() === expected.join());
      assert.deepEqual(received(), expected);
    },
    /** Waits for what may arrive and should not. */
    staysAt: async (...expected: string[]): Promise<void> => {
      await systemClock.sleep(SETTLE_MS);
      assert.deepEqual(received(), expected);
    },
    connect: async (): Promise<Socket> => {
      const socket = connect(port, "127.0.0.1");
      socket.on("error", () => undefined);
      test.after(() => socket.destroy());
      await new Promise((resolve) => socket.once("connect", resolve));
      return socket;
    },
  };
}

const LEAVES: readonly {
  name: string;
  leave: (socket: Socket) => void;
  /** What the target has received some time after the silence. */
  received: string;
}[] = [
  {
    name: "has shut down its writing side",
    leave: (socket) => socket.end(),
    received: "ab ended",
  },
  {
    name: "has closed",
    leave: (socket) => socket.destroy(),
    received: "ab ended",
  },
  {
    name: "has reset the connection",
    leave: (socket) => socket.resetAndDestroy(),
    received: "a reset",
  },
];

describe("a silent LoopbackProxy, like a kernel,", () => {
  for (const { name, leave, received } of LEAVES) {
    it(`keeps from the target, then delivers to it "${received}" of a sender that ${name}`, async (test) => {
      const { proxy, clock, connect, receives, staysAt } = await startProxy(
        test,
      );
      const socket = await connect();
      socket.write("a");
      await receives("a open");
      proxy.setFault({ kind: "silent" });
      socket.write("b");
      await systemClock.sleep(SETTLE_MS);
      leave(socket);
      await staysAt("a open");
      await clock.advance(2000);
      proxy.setFault({ kind: "none" });
      await clock.advance(1000);
      await receives(received);
    });
  }

  it("delivers the bytes of a sender that was killed", async (test) => {
    const { proxy, clock, port, receives, staysAt } = await startProxy(test);
    const sender = spawn(process.execPath, ["-e", SENDER_PROGRAM, `${port}`], {
      stdio: ["pipe", "ignore", "inherit"],
      env: { ...process.env, NODE_OPTIONS: "" },
    });
    test.after(() => sender.kill("SIGKILL"));
    sender.stdin.write("a");
    await receives("a open");
    proxy.setFault({ kind: "silent" });
    sender.stdin.write("b");
    await systemClock.sleep(SETTLE_MS);
    sender.kill("SIGKILL");
    await staysAt("a open");
    await clock.advance(2000);
    proxy.setFault({ kind: "none" });
    await clock.advance(1000);
    await receives("ab ended");
  });

  it("delivers bytes with the next retransmission, after later connections", async (test) => {
    const { proxy, clock, connect, receives, staysAt } = await startProxy(test);
    const first = await connect();
    first.write("a");
    await receives("a open");
    proxy.setFault({ kind: "silent" });
    first.write("b");
    await systemClock.sleep(SETTLE_MS);
    // Retransmitted 200, 600, 1400 and 3000 ms after the bytes were sent.
    await clock.advance(1500);
    proxy.setFault({ kind: "none" });
    const second = await connect();
    second.write("c");
    await receives("a open", "c open");
    await clock.advance(1499);
    await staysAt("a open", "c open");
    await clock.advance(1);
    await receives("ab open", "c open");
  });

  it("keeps back bytes that were to be retransmitted in another silence", async (test) => {
    const { proxy, clock, connect, receives, staysAt } = await startProxy(test);
    const socket = await connect();
    socket.write("a");
    await receives("a open");
    proxy.setFault({ kind: "silent" });
    socket.write("b");
    await systemClock.sleep(SETTLE_MS);
    await clock.advance(1500);
    proxy.setFault({ kind: "none" });
    await clock.advance(500);
    proxy.setFault({ kind: "silent" });
    await clock.advance(3000);
    await staysAt("a open");
    proxy.setFault({ kind: "none" });
    await clock.advance(1200);
    await receives("ab open");
  });

  it("delivers nothing of a connection that was opened and given up in the silence", async (test) => {
    const { proxy, clock, connect, receives, staysAt } = await startProxy(test);
    proxy.setFault({ kind: "silent" });
    const givenUp = await connect();
    givenUp.write("a");
    const kept = await connect();
    kept.write("b");
    await systemClock.sleep(SETTLE_MS);
    givenUp.destroy();
    await staysAt();
    await clock.advance(2000);
    proxy.setFault({ kind: "none" });
    await clock.advance(2000);
    await receives("b open");
  });

  it("holds back the end of a target with its answer", async (test) => {
    const { proxy, clock, connect, connections, receives, staysAt } =
      await startProxy(test);
    const socket = await connect();
    let answer = "";
    socket.on("data", (data: Buffer) => {
      answer += data.toString();
    });
    socket.on("end", () => {
      answer += " ended";
    });
    socket.write("a");
    await receives("a open");
    proxy.setFault({ kind: "silent" });
    connections[0]?.socket.end("answer");
    // The end of the other side would end the target's connection.
    await staysAt("a open");
    assert.equal(answer, "");
    await clock.advance(2000);
    proxy.setFault({ kind: "none" });
    await clock.advance(1000);
    await poll(() => answer !== "");
    assert.equal(answer, "answer ended");
  });
});

describe("a LoopbackProxy that delays", () => {
  it("delivers delayed bytes before later ones", async (test) => {
    const { proxy, clock, connect, receives, staysAt } = await startProxy(test);
    const socket = await connect();
    socket.write("a");
    await receives("a open");
    proxy.setFault({ kind: "delayed", ms: 400 });
    socket.write("b");
    await systemClock.sleep(SETTLE_MS);
    proxy.setFault({ kind: "none" });
    socket.write("c");
    await staysAt("a open");
    await clock.advance(400);
    await receives("abc open");
  });

  it("delivers bytes under way before the sender's reset", async (test) => {
    const { proxy, clock, connect, receives, staysAt } = await startProxy(test);
    const socket = await connect();
    socket.write("a");
    await receives("a open");
    proxy.setFault({ kind: "delayed", ms: 400 });
    socket.write("b");
    await systemClock.sleep(SETTLE_MS);
    await clock.advance(200);
    socket.resetAndDestroy();
    await staysAt("a open");
    await clock.advance(200);
    await receives("ab open");
    await clock.advance(200);
    await receives("ab reset");
  });
});
