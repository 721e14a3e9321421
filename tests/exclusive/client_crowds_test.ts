import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { waitUntil } from "../../dev/deployment/wait_until.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { ClientCrowd } from "../support/client_crowd.ts";
import { crowdRequests } from "../support/crowd_requests.ts";
import { RouterProcess } from "../support/router_process.ts";

type Crowd = Omit<ConstructorParameters<typeof ClientCrowd>[0], "port"> & {
  /** Listener that the crowd connects to; callers' by default. */
  listener?: "readiness";
};

/** A smaller VM than in the deployments, so that a small crowd is enough. */
const LIMITS = { heapMb: 64, memoryMb: 180, fileDescriptors: 400 };
/** How long the crowd sends. */
const CROWD_MS = 3000;
/** Longest wait for an answer on a busy machine; nothing depends on it. */
const ANSWER_TIMEOUT_MS = 30_000;
const TEST_TIMEOUT_MS = 600_000;

const HOST = "h.example";
const { get, shortLines, oddLines, chunkedHead, oneByteChunk } = crowdRequests;

const CROWDS: Record<string, Crowd> = {
  "heads of many short lines at a served path": {
    connections: 40,
    repeated: shortLines("/a/x", HOST),
  },
  "heads of many short lines at a path without a route": {
    connections: 40,
    repeated: shortLines("/none", HOST),
  },
  "heads of many short lines at the readiness path": {
    connections: 40,
    repeated: shortLines("/api/ready", HOST),
    listener: "readiness",
  },
  "heads of odd lines at a served path": {
    connections: 40,
    repeated: oddLines("/a/x", HOST),
  },
  "pipelined requests with unread responses at the readiness path": {
    connections: 40,
    repeated: get("/api/ready", HOST),
    listener: "readiness",
  },
  "pipelined requests with unread responses without a route": {
    connections: 40,
    repeated: get("/none", HOST),
  },
  "pipelined requests with unread responses at an unknown host": {
    connections: 40,
    repeated: get("/a/x", "other.example"),
  },
  "pipelined requests with unread responses at a served path": {
    connections: 40,
    repeated: get("/a/x", HOST),
  },
  "connections that send nothing": { connections: 1000 },
  "connections that send nothing and are opened again": {
    connections: 600,
    reconnect: true,
  },
  "bodies in chunks of one byte": {
    connections: 40,
    first: chunkedHead("/a/x", HOST),
    repeated: oneByteChunk,
  },
  "bodies sent a byte at a time": {
    connections: 300,
    first: chunkedHead("/a/x", HOST),
    repeated: oneByteChunk,
    pauseMs: 20,
  },
  "heads sent a line at a time": {
    connections: 600,
    first: "GET /a/x HTTP/1.1\r\n",
    repeated: "a:\r\n",
    pauseMs: 20,
  },
  "connections closed for sending after a request": {
    connections: 600,
    first: get("/a/x", HOST),
    halfClose: true,
  },
  "connections closed for sending within a head": {
    connections: 600,
    first: "GET /a/x HTTP/1.1\r\nHost:",
    halfClose: true,
  },
};

// Guards against clients that end or block the process, take more than the
// memory of the VM or its descriptors, or keep others from being served.
describe("a router with a crowd of clients", {
  timeout: TEST_TIMEOUT_MS,
}, () => {
  before(() => RouterProcess.bundle());

  for (const [name, { listener, ...behaviour }] of Object.entries(CROWDS)) {
    it(`survives ${name}`, async (t) => {
      const router = await RouterProcess.start(LIMITS);
      t.after(() => router.close());
      const crowd = new ClientCrowd({
        ...behaviour,
        port: listener === "readiness"
          ? router.readinessPort
          : router.callerPort,
      });
      t.after(() => crowd.close());
      const idleMb = router.peakMemoryMb;
      let descriptors = 0;
      const end = systemClock.now() + CROWD_MS;
      while (systemClock.now() < end && router.running) {
        descriptors = Math.max(descriptors, router.openDescriptors);
        await systemClock.sleep(100);
      }
      crowd.stopSending();
      await waitUntil(
        `an answer to an ordinary request of ${router.lastOutput}`,
        ANSWER_TIMEOUT_MS,
        () => {
          assert.equal(router.running, true, router.lastOutput);
          return router.isServing();
        },
      );
      await waitUntil(
        "an answer on the readiness path",
        ANSWER_TIMEOUT_MS,
        () => router.isReady(),
      );
      const memoryMb = router.peakMemoryMb;
      t.diagnostic(
        `${Math.round(idleMb)} to ${Math.round(memoryMb)} MB, ` +
          `${descriptors} descriptors`,
      );
      assert.equal(router.running, true, router.lastOutput);
      assert.ok(memoryMb <= LIMITS.memoryMb, `${memoryMb} MB`);
      assert.ok(
        descriptors <= LIMITS.fileDescriptors,
        `${descriptors} descriptors`,
      );
    });
  }
});
