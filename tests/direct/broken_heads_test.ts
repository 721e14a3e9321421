import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { httpHeaders } from "../../platform/http_headers.ts";
import type { Clock } from "../../src/base/clock.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { DirectListener } from "../../src/direct/direct_listener.ts";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { DirectRouter } from "../../src/direct/direct_router.ts";
import { WorkTimes } from "../../src/direct/work_times.ts";
import { FleetRetryBudget } from "../../src/limits/fleet_retry_budget.ts";
import { FleetRig } from "../support/fleet_rig.ts";
import { RawCaller } from "../support/raw_caller.ts";
import { RawUpstream } from "../support/raw_upstream.ts";
import { silentLogger } from "../support/silent_logger.ts";

const TEST_TIMEOUT_MS = 240_000;
const DEADLINE_MS = 60_000;
const CALLERS = 8;
const PATIENCE = 20;
const SIGNED = (id: string) =>
  "HTTP/1.1 200 OK\r\n" +
  `Fescuerun-Request-Id: ${id}\r\nFescuerun-Response-Signature: s\r\n`;
const FRAMINGS = {
  "with a length": "Content-Length: 12\r\n\r\n",
  "without a length": "Connection: close\r\nContent-Type: text/plain\r\n\r\n",
  "in chunks": "Transfer-Encoding: chunked\r\n\r\n",
};
const INTERIM = {
  "": "",
  " after an interim answer": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
  " after one that closes": "HTTP/1.1 103 Early Hints\r\n" +
    "Connection: close\r\n\r\n",
};
const ENDS = {
  ends: (socket: Socket) => socket.end(),
  "resets the connection": (socket: Socket) => socket.resetAndDestroy(),
};

/** Stretches the time limits of connections on a computer with other work. */
const patientClock: Clock = {
  ...systemClock,
  sleep: (ms, signal) => systemClock.sleep(ms * PATIENCE, signal),
};

type Case = { bytes: string; end: (socket: Socket) => void; requests: number };

/** Serves callers from upstreams that break off the head of an answer. */
async function startRouter(keyed: boolean) {
  const rig = new FleetRig(patientClock, 1);
  rig.configure(
    [rig.route({ idempotent: false, timeoutMs: DEADLINE_MS })],
    [{ keyed }],
  );
  const listener = new DirectListener({
    clock: systemClock,
    logger: silentLogger(),
    router: new DirectRouter({
      view: rig.view,
      work: new WorkTimes(),
      protocol: httpHeaders,
      budget: new FleetRetryBudget({
        clock: systemClock,
        bound: { ratio: 1, windowMs: 10_000, slack: 1e6 },
        vms: () => 1,
      }),
      clock: patientClock,
      logger: silentLogger(),
      metrics: new DirectMetrics(),
      location: { vm: "vm-1", failureDomain: "a1", region: "a" },
      countKey: () => undefined,
      onStaleOwnership: () => undefined,
      configAgeMs: () => 0,
      registryAgeMs: () => 0,
    }),
    protocol: httpHeaders,
    maxBodyBytes: () => 1000,
    bodyMemoryBytes: 1000,
    metrics: new DirectMetrics(),
    readinessDelayMs: 0,
  });
  const port = await listener.listen("127.0.0.1:0");
  return { rig, listener, port };
}

function requestIdIn(text: string): string {
  return /fescuerun-request-id: (\S+)/i.exec(text)?.[1] ?? "";
}

/**
 * Plays one case with an upstream of its own.
 *
 * @returns status of the answer to the request whose head breaks off, and the
 * number of requests that the upstream has read
 */
async function play(
  { rig, port }: Awaited<ReturnType<typeof startRouter>>,
  { bytes, end, requests }: Case,
  id: string,
): Promise<{ status: string; read: number }> {
  let read = 0;
  const raw = await new RawUpstream((socket, text) => {
    read++;
    const requestId = requestIdIn(text);
    if (read < requests) {
      socket.write(`${SIGNED(requestId)}Content-Length: 2\r\n\r\nok`);
      return;
    }
    socket.write(
      bytes.replaceAll("{id}", requestId),
      "latin1",
      () => end(socket),
    );
  }).listen();
  rig.view.setRegistry([]);
  rig.upstream({ id, address: `127.0.0.1:${raw.port}` });
  rig.owners({ id, owner: { id, incarnation: 1 } });
  let status = "";
  for (let n = 0; n < requests; n++) {
    const caller = new RawCaller(port).write(
      "POST /a/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" +
        `Fescuerun-Request-Id: ${id}-${n}\r\nFescuerun-Shard-Key: 7\r\n` +
        `Fescuerun-Request-Deadline: ${DEADLINE_MS}\r\n` +
        "Content-Length: 0\r\n\r\n",
    );
    status = (await caller.closed()).slice("HTTP/1.1 ".length).slice(0, 3);
  }
  raw.close();
  return { status, read };
}

// Guards against a success with an empty or short body that looks complete
// although the upstream ended in the middle of its answer's head.
describe("a head that breaks off", { timeout: TEST_TIMEOUT_MS }, () => {
  for (const keyed of [false, true]) {
    for (const requests of [1, 2]) {
      for (const [interimName, interim] of Object.entries(INTERIM)) {
        for (const [framing, headers] of Object.entries(FRAMINGS)) {
          const name = `${framing}${interimName}, ` +
            `${requests === 1 ? "first" : "second"} answer of a connection` +
            (keyed ? ", with a key" : "");
          it(`is never delivered as a success: ${name}`, async () => {
            const head = `${interim}${SIGNED("{id}")}${headers}`;
            const cuts = Array.from(
              { length: head.length - 1 },
              (_, n) => n + 1,
            )
              .filter((n) => !/\{[id]*$/.test(head.slice(0, n)));
            const cases = cuts.flatMap((cut) =>
              Object.values(ENDS).map((end): Case => ({
                bytes: head.slice(0, cut),
                end,
                requests,
              }))
            );
            const delivered: string[] = [];
            let unread = 0;
            let next = 0;
            const run = async (caller: number) => {
              const router = await startRouter(keyed);
              for (let item = cases[next++]; item; item = cases[next++]) {
                const id = `u-${caller}-${next}`;
                const { status, read } = await play(router, item, id);
                if (status !== "502") {
                  delivered.push(`${status}: ${item.bytes}`);
                }
                if (read !== requests) unread++;
              }
              await router.listener.drain({
                stopMs: DEADLINE_MS,
                signal: AbortSignal.abort(),
              });
            };
            await Promise.all(
              Array.from({ length: CALLERS }, (_, caller) => run(caller)),
            );
            assert.deepEqual(delivered, []);
            assert.equal(unread, 0);
          });
        }
      }
    }
  }
});
