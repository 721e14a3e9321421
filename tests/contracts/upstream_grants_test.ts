import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { UpstreamStandin } from "../../dev/standins/upstream_standin.ts";
import { HttpUpstreamGrants } from "../../src/contracts/http_upstream_grants.ts";

const signal = new AbortController().signal;
const UNEXPIRED_TTL_MS = 60_000;

describe("upstream grants", () => {
  const upstream = new UpstreamStandin({
    id: "w1",
    service: "usage",
    serviceMs: 0,
  });
  const grants = new HttpUpstreamGrants();
  let address: string;

  before(async () => {
    address = await upstream.start();
  });
  after(async () => {
    await grants.close();
    await upstream.stop();
  });

  async function put(epoch: number, seq: number, ttlMs: number) {
    const { now } = (await grants.read(address, signal))._unsafeUnwrap();
    return grants.put(address, {
      epoch,
      seq,
      dispatcher: "entry-1",
      units: ["shard:1"],
      expiresAt: now + ttlMs,
    }, signal);
  }

  async function send(unit: string, epoch: number) {
    const res = await request(`http://${address}/work`, {
      method: "POST",
      body: "x",
      headers: {
        "fescuerun-unit": unit,
        "fescuerun-epoch": String(epoch),
      },
    });
    await res.body.dump();
    return [res.statusCode, res.headers["fescuerun-not-run"]];
  }

  test("a grant must be newer by epoch, then by sequence number", async () => {
    const cases = [
      { epoch: 2, seq: 1, accepted: true },
      { epoch: 2, seq: 1, accepted: false },
      { epoch: 2, seq: 0, accepted: false },
      { epoch: 1, seq: 9, accepted: false },
      { epoch: 2, seq: 2, accepted: true },
      { epoch: 3, seq: 0, accepted: true },
    ];
    for (const { epoch, seq, accepted } of cases) {
      const result = await put(epoch, seq, UNEXPIRED_TTL_MS);
      assert.equal(result.isOk(), accepted, `epoch ${epoch}, seq ${seq}`);
      if (result.isErr()) assert.equal(result.error.kind, "superseded");
    }
  });

  test("a request outside the grant is refused and does not run", async () => {
    await put(10, 0, UNEXPIRED_TTL_MS);
    const before = upstream.journal.effects.length;

    assert.deepEqual(await send("shard:2", 10), [409, "grant"]);
    assert.deepEqual(await send("shard:1", 9), [409, "grant"]);
    assert.equal(upstream.journal.effects.length, before);
    assert.deepEqual(await send("shard:1", 10), [200, undefined]);
    assert.equal(upstream.journal.effects.length, before + 1);
  });

  test("an expired grant admits no request", async () => {
    await put(20, 0, -1);
    assert.deepEqual(await send("shard:1", 20), [409, "grant"]);
  });
});
