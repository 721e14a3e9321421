import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { UpstreamKeys } from "../../platform/standins/upstream_keys.ts";
import { ManualClock } from "../support/manual_clock.ts";

function setUp() {
  const clock = new ManualClock();
  return { clock, keys: new UpstreamKeys(clock) };
}

describe("UpstreamKeys", () => {
  it("holds keys until the lease expires", async () => {
    const { clock, keys } = setUp();
    assert.ok(keys.grant({ first: 0, last: 9, fence: 1, until: 100 }));
    assert.ok(keys.holds(9));
    assert.ok(!keys.holds(10));
    await clock.advance(100);
    assert.ok(!keys.holds(9));
    assert.ok(!keys.mayFinish(9));
  });

  it("lets requests for released keys finish until the lease expires", async () => {
    const { clock, keys } = setUp();
    keys.grant({ first: 0, last: 9, fence: 1, until: 100 });
    keys.release({ first: 5, last: 9, fence: 2 });
    assert.deepEqual([keys.holds(4), keys.holds(5)], [true, false]);
    assert.ok(keys.mayFinish(5));
    await clock.advance(100);
    assert.ok(!keys.mayFinish(5));
  });

  const grants: [
    string,
    { first: number; last: number; fence: number },
    boolean,
  ][] = [
    ["with the same token", { first: 0, last: 9, fence: 3 }, true],
    ["with a higher token", { first: 5, last: 20, fence: 4 }, true],
    ["with a lower token", { first: 9, last: 20, fence: 2 }, false],
    ["for other keys", { first: 10, last: 20, fence: 1 }, true],
  ];
  for (const [name, grant, accepted] of grants) {
    it(`${accepted ? "accepts" : "refuses"} a grant ${name}`, () => {
      const { keys } = setUp();
      keys.release({ first: 0, last: 9, fence: 3 });
      assert.equal(keys.grant({ ...grant, until: 100 }), accepted);
      assert.equal(keys.holds(grant.last), accepted);
    });
  }
});
