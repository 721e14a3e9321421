import assert from "node:assert/strict";
import { once } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { systemClock } from "../../src/base/system_clock.ts";
import { attempt } from "../../src/direct/attempt.ts";
import type { UpstreamConnection } from "../../src/upstreams/upstream_connection.ts";
import { attemptOptions } from "../support/attempt_options.ts";
import { FleetRig } from "../support/fleet_rig.ts";
import { RawUpstream } from "../support/raw_upstream.ts";
import { testCall } from "../support/test_call.ts";
import { testDirectRouter } from "../support/test_direct_router.ts";
import { testUpstream } from "../support/test_upstream.ts";

const COPY_DELAY_MS = 4;
const WORK_MS = 25;
const DEADLINE_MS = 5000;
const RETRY_SLACK = 50;
/** Connections per upstream that leave each router the smallest number. */
const FEW_CONNECTIONS = 1;

/** An answer with the id of its request, or without one. */
function answer(status: string, id: string | undefined, headers = ""): string {
  const named = id === undefined ? "" : `Fescuerun-Request-Id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${named}${headers}Content-Length: 0\r\n\r\n`;
}

const NOT_EXECUTED = "Fescuerun-Not-Executed: 1\r\n";
const SIGNED = "Fescuerun-Response-Signature: s\r\n";

/** When the upstream writes the second copy of its first answer. */
const COPIES = {
  "before the next request": (socket: Socket, copy: string, next: boolean) => {
    if (!next) setTimeout(() => socket.write(copy), COPY_DELAY_MS);
  },
  "with the first answer": (socket: Socket, copy: string, next: boolean) => {
    if (!next) socket.write(copy);
  },
  "at the next request": (socket: Socket, copy: string, next: boolean) => {
    if (next) socket.write(copy);
  },
  "while the next request runs": (
    socket: Socket,
    copy: string,
    next: boolean,
  ) => {
    if (next) setTimeout(() => socket.write(copy), COPY_DELAY_MS);
  },
} as const;

/** First answers after which the owner of the key gets the request again. */
const FIRST_ANSWERS = [
  { name: "421", status: "421 X", headers: NOT_EXECUTED, idempotent: false },
  { name: "421", status: "421 X", headers: NOT_EXECUTED, idempotent: true },
  { name: "500", status: "500 X", headers: SIGNED, idempotent: true },
] as const;

/**
 * Sends a request with a key through a router to the key's owner, which gives
 * it a first answer, runs what it gets after that, and writes a second copy of
 * the first answer.
 */
async function serve(
  first: (typeof FIRST_ANSWERS)[number],
  { named, copy }: {
    named: boolean;
    copy: (typeof COPIES)[keyof typeof COPIES];
  },
) {
  const rig = new FleetRig(systemClock, 1);
  rig.configure([rig.route({ idempotent: first.idempotent })], [
    { keyed: true, maxConnections: FEW_CONNECTIONS },
  ]);
  let used: Socket | undefined;
  let requests = 0;
  const raw = await new RawUpstream((socket, text) => {
    const id = /fescuerun-request-id: (\S+)/i.exec(text)?.[1] ?? "";
    const firstAnswer = answer(
      first.status,
      named ? id : undefined,
      first.headers,
    );
    if (requests++ === 0) {
      used = socket;
      socket.write(firstAnswer);
      copy(socket, firstAnswer, false);
      return;
    }
    if (used !== undefined) copy(used, firstAnswer, true);
    setTimeout(() => socket.write(answer("200 OK", id, SIGNED)), WORK_MS);
  }).listen();
  rig.view.setRegistry([]);
  rig.upstream({ id: "u-1", address: `127.0.0.1:${raw.port}` });
  rig.owners({ id: "u-1" });
  const outcome = await testDirectRouter(rig, RETRY_SLACK).handle(
    testCall({
      method: "POST",
      receivedAt: systemClock.now(),
      deadlineMs: DEADLINE_MS,
      key: 7,
    }),
    new AbortController().signal,
  );
  for (const upstream of rig.view.upstreams) upstream.close();
  raw.close();
  return { outcome, requests };
}

describe("a request that its upstream gets a second time", () => {
  // Guards against a non-idempotent request that runs twice: the second copy of
  // the answer to its first attempt is taken for the answer to the second one.
  for (const first of FIRST_ANSWERS) {
    for (const [when, copy] of Object.entries(COPIES)) {
      for (const named of [true, false]) {
        it(
          `after ${first.name}, idempotent: ${first.idempotent}, a ${
            named ? "named" : "nameless"
          } second copy ${when}`,
          async () => {
            const { outcome, requests } = await serve(first, { named, copy });
            assert.equal(requests, 2);
            assert.equal(outcome.kind === "answered" && outcome.status, 200);
          },
        );
      }
    }
  }

  // Guards against more connections than a VM may have to an upstream, and
  // against new ones for other requests, which may use the idle one.
  for (const maxConnections of [1, 2]) {
    it(`uses at most ${maxConnections} connections at a time`, async () => {
      const sockets = new Set<Socket>();
      const raw = await new RawUpstream((socket, text) => {
        sockets.add(socket);
        const id = /fescuerun-request-id: (\S+)/i.exec(text)?.[1] ?? "";
        socket.write(answer("421 X", id, NOT_EXECUTED));
      }).listen();
      const upstream = testUpstream({ address: `127.0.0.1:${raw.port}` });
      const send = async (sentOn: Set<UpstreamConnection>) => {
        const { kind } = await attempt(
          attemptOptions(upstream, {
            maxConnections,
            idempotent: false,
            sentOn,
            onSent: (connection) => void sentOn.add(connection),
          }),
          new AbortController().signal,
        );
        assert.equal(kind, "rejected");
        // A connection returns to the pool in a later turn of the event loop.
        await setImmediate();
      };
      const sentOn = new Set<UpstreamConnection>();
      await send(sentOn);
      const [first] = sockets;
      await send(sentOn);
      assert.equal(sentOn.size, 2);
      if (maxConnections === 1 && !first!.destroyed) {
        await once(first!, "close");
      }
      await send(new Set());
      assert.equal(sockets.size, 2);
      upstream.close();
      raw.close();
    });
  }
});
