import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { LoopbackProxy } from "../../dev/soak/loopback_proxy.ts";
import type { LinkFault } from "../../dev/soak/link_fault.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { RawUpstream } from "../support/raw_upstream.ts";

const WAIT_MS = 80;

async function rig() {
  const raw = await new RawUpstream((socket, text) => {
    socket.write(`re:${text}`);
  }).listen();
  const proxy = new LoopbackProxy(raw.port);
  const port = await proxy.listen();
  const seen = { text: "", closed: false };
  const socket: Socket = connect(port, "127.0.0.1");
  socket.on("data", (data: Buffer) => {
    seen.text += data.toString();
  });
  socket.on("error", () => undefined);
  socket.on("close", () => {
    seen.closed = true;
  });
  await new Promise((resolve) => socket.once("connect", resolve));
  const close = () => {
    socket.destroy();
    proxy.close();
    raw.close();
  };
  return { proxy, socket, seen, close };
}

const CASES: readonly {
  fault: LinkFault;
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
    it(`passes connections on, ${fault.kind}`, async () => {
      const { proxy, socket, seen, close } = await rig();
      await systemClock.sleep(WAIT_MS);
      proxy.setFault(fault);
      socket.write("a");
      await systemClock.sleep(WAIT_MS);
      assert.equal(seen.text, during);
      proxy.setFault({ kind: "none" });
      await systemClock.sleep(5 * WAIT_MS);
      assert.equal(seen.text, after);
      assert.equal(seen.closed, closed);
      close();
    });
  }
});
