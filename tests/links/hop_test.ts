import assert from "node:assert/strict";
import { test } from "node:test";
import { Agent, request } from "undici";
import { EntryRig } from "../support/entry_rig.ts";
import { FakeDispatching } from "../support/fake_dispatching.ts";
import { testCatalogue } from "../support/test_catalogue.ts";

test("1,000 concurrent requests over a hop get their own responses", async (t) => {
  const remote = new FakeDispatching(FakeDispatching.echo());
  const rig = await new EntryRig({ local: new FakeDispatching(), remote })
    .start();
  const agent = new Agent({ connections: 200 });
  t.after(async () => {
    rig.stop();
    await agent.destroy();
  });
  rig.assignments.adopt(1, testCatalogue.row({ vm: "r2" }));
  const answers = await Promise.all(
    Array.from({ length: 1000 }, async (_, i) => {
      const answer = await request(`${rig.url}/bookings/${i}?a=%20b`, {
        method: "POST",
        headers: { "x-key": `k${i}`, "fescuerun-upstream": "forged" },
        body: `body ${i}`,
        dispatcher: agent,
      });
      return `${answer.statusCode} ${await answer.body.text()}`;
    }),
  );
  assert.deepEqual(
    answers,
    Array.from({ length: 1000 }, (_, i) => `200 body ${i}`),
  );
  assert.equal(rig.released, 1000);
  const seen = new Set(remote.requests.map((req) => req.target));
  assert.equal(seen.size, 1000);
  assert.ok(remote.requests.every((req) => req.upstream === "u1"));
});
