import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { LoopbackProxy } from "../../dev/soak/loopback_proxy.ts";
import type { LinkFault } from "../../dev/soak/link_fault.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { RawUpstream } from "../support/raw_upstream.ts";

const SETTLE_MS = 80;

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
