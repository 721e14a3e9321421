import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { Agent } from "undici";
import { call } from "../../dev/bench/call.ts";
import { Deployment } from "../../dev/deployment/deployment.ts";
import { waitUntil } from "../../dev/deployment/wait_until.ts";
import { longTimeoutCatalogue } from "../support/long_timeout_catalogue.ts";
import { SMALL_PRESET } from "../support/small_preset.ts";

const CALLERS = 1000;
const TIMEOUT_MS = 60_000;

let deployment: Deployment;
before(async () => {
  deployment = await Deployment.start({
    preset: SMALL_PRESET,
    catalogue: longTimeoutCatalogue(SMALL_PRESET),
  });
});
after(() => deployment.stop());

test("1,000 concurrent callers get their own complete answers", async () => {
  // Guards against answers that are swapped or truncated when the connections
  // between routers and upstreams carry the requests of many callers.
  const dispatcher = new Agent();
  const { routers } = deployment;
  const callUntilAnswered = async (index: number) => {
    for (;;) {
      const result = await call({
        dispatcher,
        url: routers[index % routers.length]?.callersUrl ?? "",
        entry: "bookings",
        key: `key-${index}`,
        id: `caller-${index}`,
        // Bodies from a few bytes to several packets.
        body: `${index} `.repeat(1 + (index * 37) % 8000),
        timeoutMs: TIMEOUT_MS,
      });
      // On a slow computer a request may be refused; the caller then retries.
      if (result.outcome === "") return result;
    }
  };
  const results = await Promise.all(
    Array.from({ length: CALLERS }, (_, index) => callUntilAnswered(index)),
  );
  await dispatcher.close();
  assert.deepEqual(
    results.filter(({ status, mismatched }) => status !== 200 || mismatched),
    [],
  );
});

test("a router that is busy accepts every connection of a burst", async () => {
  // Guards against a listen backlog that is too short. A connection attempt that
  // exceeds it is repeated after 1 s, and peers treat a connection that is
  // silent for that long as lost.
  const router = deployment.routers[0];
  assert.ok(router);
  const { port } = new URL(router.callersUrl);
  router.process.signal("SIGSTOP");
  const sockets = Array.from(
    { length: CALLERS },
    () => connect({ port: Number(port), host: "127.0.0.1" }),
  );
  try {
    await waitUntil(
      "all connections",
      TIMEOUT_MS,
      () => Promise.resolve(sockets.every((socket) => !socket.connecting)),
    );
  } finally {
    for (const socket of sockets) socket.destroy();
    router.process.signal("SIGCONT");
  }
});
