import assert from "node:assert/strict";
import { once } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { GrantClient } from "../../platform/grant_client.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { startEndlessUpstream } from "../support/endless_upstream.ts";
import { RawUpstream } from "../support/raw_upstream.ts";

const TEST_TIMEOUT_MS = 120_000;
const ORDER_TIMEOUT_MS = 500;

function order(port: number, onLeaving = () => undefined) {
  return {
    address: `127.0.0.1:${port}`,
    id: "i-1",
    first: 0,
    last: 9,
    fence: 1,
    holdMs: 4000,
    handover: undefined,
    maySend: () => true,
    sameProcess: false,
    onLeaving,
  };
}

const ACCEPTED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

describe("GrantClient", { timeout: TEST_TIMEOUT_MS }, () => {
  it("says whether the upstream leaves", async () => {
    let leaving = "";
    const raw = await new RawUpstream((socket) =>
      socket.write(`HTTP/1.1 200 OK\r\n${leaving}Content-Length: 0\r\n\r\n`)
    ).listen();
    const end = new AbortController();
    const client = new GrantClient(systemClock, end.signal);
    let announced = 0;
    const send = () =>
      client.grant(
        order(raw.port, () => {
          announced++;
          return undefined;
        }),
        AbortSignal.timeout(ORDER_TIMEOUT_MS),
      );
    assert.equal(await send(), "granted");
    assert.equal(announced, 0);
    leaving = "Server-Leaving: 1\r\n";
    assert.equal(await send(), "granted");
    assert.equal(announced, 1);
    end.abort();
    raw.close();
  });

  // Guards against a status that HTTP does not have and that counts as a
  // refusal, after which the keys would be given to another upstream.
  for (const status of ["000", "099", "600", "999", "abc"]) {
    it(`takes status ${status} for no answer to an order`, async () => {
      const raw = await new RawUpstream((socket) =>
        socket.write(ACCEPTED.replace("200", status))
      ).listen();
      const end = new AbortController();
      const client = new GrantClient(systemClock, end.signal);
      const timeout = () => AbortSignal.timeout(ORDER_TIMEOUT_MS);
      assert.equal(
        await client.grant(order(raw.port), timeout()),
        "unanswered",
      );
      const released = await client.release(order(raw.port), timeout());
      assert.deepEqual(released, { kind: "unanswered" });
      end.abort();
      raw.close();
    });
  }

  // Guards against a grant that reaches an upstream which has restarted, where
  // the leader relies on the tokens that the upstream has received.
  it("sends to the same process only while a connection to it is open", async () => {
    const sockets: Socket[] = [];
    let grants = 0;
    const raw = await new RawUpstream((socket) => {
      grants++;
      if (!sockets.includes(socket)) sockets.push(socket);
      socket.write(ACCEPTED);
    }).listen();
    const end = new AbortController();
    const client = new GrantClient(systemClock, end.signal);
    const send = (sameProcess: boolean) =>
      client.grant(
        { ...order(raw.port), sameProcess },
        AbortSignal.timeout(ORDER_TIMEOUT_MS),
      );
    assert.equal(await send(true), "not_sent");
    assert.equal(grants, 0);
    assert.equal(await send(false), "granted");
    assert.equal(await send(true), "granted");
    assert.equal(await send(true), "granted");
    assert.equal(raw.connections, 1);
    const closed = once(sockets[0]!, "close");
    sockets[0]!.resetAndDestroy();
    await closed;
    // The reset may arrive with the next order or before it.
    assert.ok(["unanswered", "not_sent"].includes(await send(true)));
    assert.equal(await send(true), "not_sent");
    assert.equal(grants, 3);
    assert.equal(await send(false), "granted");
    assert.equal(await send(true), "granted");
    assert.equal(raw.connections, 2);
    end.abort();
    raw.close();
  });

  // Guards against keys that are granted to the next upstream while the last one
  // is still at work on them: a late second copy of the answer to an earlier
  // order is taken for the answer to a release.
  it("takes no second copy of an answer for that of a release", async () => {
    const last = new WeakMap<Socket, string>();
    let releases = 0;
    const raw = await new RawUpstream((socket, text) => {
      const copy = last.get(socket);
      const answer = text.includes("/api/release")
        ? ACCEPTED.replace("OK", `OK\r\nFescuerun-Handover: h${++releases}`)
        : ACCEPTED;
      last.set(socket, answer);
      socket.write(copy ?? answer);
    }).listen();
    const end = new AbortController();
    const client = new GrantClient(systemClock, end.signal);
    const timeout = () => AbortSignal.timeout(ORDER_TIMEOUT_MS);
    for (const handover of ["h1", "h2", "h3"]) {
      assert.equal(await client.grant(order(raw.port), timeout()), "granted");
      assert.deepEqual(
        await client.release(order(raw.port), timeout()),
        { kind: "released", handover },
      );
    }
    end.abort();
    raw.close();
  });

  // Guards against two owners of keys: a leader is suspended while the connection
  // for its grant is opened, and another leader has moved the keys meanwhile.
  it("sends no grant on a new connection once orders may not be sent", async () => {
    let requests = 0;
    const raw = await new RawUpstream((socket) => {
      requests++;
      socket.write(ACCEPTED);
    }).listen();
    const end = new AbortController();
    const client = new GrantClient(systemClock, end.signal);
    const result = await client.grant(
      { ...order(raw.port), maySend: () => false },
      AbortSignal.timeout(ORDER_TIMEOUT_MS),
    );
    assert.equal(result, "not_sent");
    assert.equal(requests, 0);
    end.abort();
    raw.close();
  });

  // Guards against two owners of keys: an order that has timed out is held up
  // by a partition and delivered after the lease counts as expired.
  for (const path of ["grant", "release"] as const) {
    it(`resets the connection of a ${path} that has timed out`, async () => {
      let onSeen: (end: string) => void = () => undefined;
      const seen = new Promise<string>((resolve) => {
        onSeen = resolve;
      });
      const timeout = new AbortController();
      const raw = await new RawUpstream((socket) => {
        socket.once("end", () => onSeen("end"));
        socket.once(
          "error",
          (err: NodeJS.ErrnoException) => onSeen(err.code ?? err.message),
        );
        timeout.abort();
      }).listen();
      const end = new AbortController();
      const client = new GrantClient(systemClock, end.signal);
      const sent = path === "grant"
        ? client.grant(order(raw.port), timeout.signal)
        : client.release(order(raw.port), timeout.signal)
          .then(({ kind }) => kind);
      assert.equal(await sent, "unanswered");
      assert.equal(await seen, "ECONNRESET");
      end.abort();
      raw.close();
    });
  }

  // Guards against renewals that end because of a second copy of a refusal.
  it("takes no second copy of a refusal for that of the next grant", async () => {
    const refused = new Set<Socket>();
    const refusal = "HTTP/1.1 409 Stale\r\nContent-Length: 0\r\n\r\n";
    let grants = 0;
    const raw = await new RawUpstream((socket) => {
      const stale = grants++ === 0 || refused.has(socket);
      if (stale) refused.add(socket);
      socket.write(stale ? refusal : ACCEPTED);
    }).listen();
    const end = new AbortController();
    const client = new GrantClient(systemClock, end.signal);
    const timeout = () => AbortSignal.timeout(ORDER_TIMEOUT_MS);
    assert.equal(await client.grant(order(raw.port), timeout()), "stale");
    assert.equal(await client.grant(order(raw.port), timeout()), "granted");
    end.abort();
    raw.close();
  });

  // Guards against a refused grant that counts as accepted for longer than until
  // the next renewal: answers to orders do not name them, and a renewal must use
  // the connection of an accepted grant.
  it("takes a second copy of an accepted grant for at most one refusal", async () => {
    const refusal = "HTTP/1.1 409 Stale\r\nContent-Length: 0\r\n\r\n";
    let grants = 0;
    const raw = await new RawUpstream((socket) => {
      grants++;
      if (grants === 2) socket.write(ACCEPTED);
      socket.write(grants === 1 ? ACCEPTED : refusal);
    }).listen();
    const end = new AbortController();
    const client = new GrantClient(systemClock, end.signal);
    const renew = (sameProcess: boolean) =>
      client.grant(
        { ...order(raw.port), sameProcess },
        AbortSignal.timeout(ORDER_TIMEOUT_MS),
      );
    assert.equal(await renew(false), "granted");
    assert.equal(await renew(true), "granted");
    assert.notEqual(await renew(true), "granted");
    end.abort();
    raw.close();
  });

  // Guards against a connection of each order that stays open forever and keeps
  // the processor busy.
  for (const shape of ["a body", "a reason phrase"] as const) {
    for (const speed of ["full speed", "trickled"] as const) {
      it(`ends an order whose answer has ${shape} without end, ${speed}`, async () => {
        const raw = await startEndlessUpstream(shape, speed);
        const end = new AbortController();
        const client = new GrantClient(systemClock, end.signal);
        const result = await client.grant(
          order(raw.port),
          AbortSignal.timeout(ORDER_TIMEOUT_MS),
        );
        assert.equal(result, shape === "a body" ? "granted" : "unanswered");
        await raw.untilIdle();
        end.abort();
        await raw.close();
      });
    }
  }
});
