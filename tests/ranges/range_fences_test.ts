import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { RangeFences } from "../../src/ranges/range_fences.ts";
import { RangeRig } from "../support/range_rig.ts";
import { silentLogger } from "../support/silent_logger.ts";

const MS_PER_MINUTE = 60_000;
const owner = { id: "u-1", incarnation: 1 };
const range = {
  first: 0,
  last: 99,
  owner: { id: "u-2", incarnation: 1 },
  fence: 7,
  previous: [],
  unfenced: [owner],
};

function createRig(ids: readonly string[]) {
  const rig = new RangeRig();
  const { view } = rig.addCandidate("vm-1", ids);
  const sent: unknown[] = [];
  let kind: "released" | "unanswered" = "released";
  const fences = new RangeFences({
    service: "ledger",
    view,
    grants: {
      grant: () => Promise.resolve("refused"),
      release: (order) => {
        sent.push(order);
        return Promise.resolve(
          kind === "released" ? { kind, handover: undefined } : { kind },
        );
      },
    },
    clock: rig.clock,
    logger: silentLogger(),
    metrics: new DirectMetrics(),
  });
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 100) {
      fences.sendIfDue(range, true, rig.end.signal);
      await rig.clock.advance(100);
    }
  };
  return {
    rig,
    view,
    sent,
    fences,
    advance,
    setResult: (next: typeof kind) => {
      kind = next;
    },
  };
}

// Guards against an order that is accepted late by an earlier owner, which has
// not received the higher token of its keys.
describe("RangeFences", () => {
  it("sends the token until the earlier owner has answered, and then no more", async () => {
    const { sent, fences, advance, setResult } = createRig(["u-1"]);
    setResult("unanswered");
    await advance(1000);
    assert.ok(sent.length > 1);
    assert.ok(!fences.isFenced(range, owner));
    setResult("released");
    await advance(1000);
    assert.ok(fences.isFenced(range, owner));
    const { length } = sent;
    await advance(5000);
    assert.equal(sent.length, length);
    assert.deepEqual(sent[0], {
      address: "u-1:1",
      id: "u-1",
      first: 0,
      last: 99,
      fence: 7,
    });
  });

  it("sends nothing while the earlier owner is not registered, for minutes", async () => {
    const { rig, view, sent, fences, advance } = createRig([]);
    await advance(MS_PER_MINUTE);
    assert.equal(sent.length, 0);
    assert.ok(!fences.isFenced(range, owner));
    rig.register(view, "u-1");
    await advance(200);
    assert.equal(sent.length, 1);
  });

  it("stops waiting for an earlier owner that stays away", async () => {
    const { sent, fences, advance } = createRig([]);
    await advance(3 * MS_PER_MINUTE);
    assert.equal(sent.length, 0);
    assert.ok(fences.isFenced(range, owner));
  });

  it("takes no keys from an earlier owner that has been granted them again", async () => {
    const { rig, sent, fences } = createRig(["u-1"]);
    const moved = { ...range, owner };
    fences.sendIfDue(moved, true, rig.end.signal);
    await rig.clock.advance(1000);
    assert.equal(sent.length, 0);
    fences.sendIfDue(moved, false, rig.end.signal);
    assert.equal(sent.length, 1);
    assert.ok(fences.isSending(moved, owner));
    await rig.clock.advance(100);
    assert.ok(!fences.isSending(moved, owner));
  });

  it("sends nothing to a new process of the earlier owner", async () => {
    const { rig, view, sent, fences, advance } = createRig([]);
    rig.register(view, "u-1", "ready", 2);
    await advance(200);
    assert.equal(sent.length, 0);
    assert.ok(fences.isFenced(range, owner));
  });
});
