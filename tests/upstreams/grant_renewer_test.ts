import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { GrantRenewer } from "../../src/upstreams/grant_renewer.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { SimulatedGrants } from "../support/simulated_grants.ts";

const LEASE_ENDS_AT = 6000;
const STEP_MS = 50;
const ALL_UNITS = ["shard:0", "shard:1", "pin:0000000000000000"];

/**
 * Starts a grant renewer for a simulated upstream. Tests change the units to
 * grant in `state.units`.
 */
function start(
  leaseEndsAt = LEASE_ENDS_AT,
  deliveries: SimulatedGrants["deliveries"] = [],
  clockOffset = 100_000,
) {
  const clock = new ManualClock();
  const grants = new SimulatedGrants(clock);
  grants.deliveries = [...deliveries];
  grants.clockOffset = clockOffset;
  const end = new AbortController();
  const state = { units: ["shard:0"], superseded: 0, seq: 0 };
  const superseded = () => state.superseded;
  const renewer = new GrantRenewer({
    address: "127.0.0.1:1",
    dispatcher: "x",
    epoch: 7,
    grants,
    clock,
    logger: { warn: () => undefined } as never,
    renewMs: 500,
    units: () => state.units,
    leaseEndsAt: () => leaseEndsAt,
    nextSeq: (above) => state.seq = Math.max(state.seq, above) + 1,
    onSuperseded: () => state.superseded += 1,
    onChange: () => undefined,
  });
  const done = renewer.run(end.signal);
  const stop = async () => {
    end.abort();
    await done;
  };
  return { clock, grants, renewer, state, superseded, stop };
}

const time = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 0, max: 50 }) },
  { weight: 2, arbitrary: fc.integer({ min: 50, max: 3000 }) },
  { weight: 1, arbitrary: fc.constant(Infinity) },
);
const delivery = fc.record({
  requestMs: time,
  responseMs: time,
  repeatMs: fc.option(fc.integer({ min: 0, max: 4000 }), {
    nil: undefined,
  }),
}).map(({ repeatMs, ...rest }) =>
  repeatMs === undefined ? rest : { ...rest, repeatMs }
);

// Guards against an upstream that serves a unit after the dispatcher reported
// its grant as expired, or after the dispatch lease, whatever messages the
// network delays, loses or repeats (section 6.1 of the design page).
test("delayed, lost and repeated messages never prolong a grant", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(delivery, { maxLength: 30 }),
      fc.array(fc.subarray(ALL_UNITS), { minLength: 12, maxLength: 12 }),
      fc.integer({ min: 0, max: 1_000_000 }),
      async (deliveries, unitChanges, clockOffset) => {
        const { clock, grants, renewer, state, stop } = start(
          LEASE_ENDS_AT,
          deliveries,
          clockOffset,
        );
        const revoked = new Set<string>();
        while (clock.now() < LEASE_ENDS_AT + 3000) {
          if (clock.now() % 500 === 0) {
            const units = unitChanges[clock.now() / 500];
            if (units !== undefined) state.units = units;
            for (const unit of state.units) revoked.delete(unit);
            renewer.renewNow();
          }
          await clock.advance(STEP_MS);
          for (const unit of ALL_UNITS) {
            if (
              !state.units.includes(unit) && renewer.revocationAttempted(unit)
            ) {
              if (renewer.remainingMs(unit) === 0) revoked.add(unit);
            }
            const serves = grants.serves(unit);
            const when = `${unit} at ${clock.now()}`;
            assert.ok(!(serves && revoked.has(unit)), `${when} is not granted`);
            assert.ok(serves || !renewer.holdsGrant(unit), `${when} is held`);
            if (clock.now() >= LEASE_ENDS_AT) {
              assert.ok(!serves, `${when} is past the lease`);
            }
          }
        }
        await stop();
      },
    ),
    { numRuns: 150 },
  );
});

// Guards against a grant that expires during the lease or outlasts it.
test("a grant is renewed until the lease ends", async () => {
  const { clock, grants, stop } = start(3000);
  for (let at = STEP_MS; at < 3000; at += STEP_MS) {
    await clock.advance(STEP_MS);
    assert.equal(grants.serves("shard:0"), true, `at ${at}`);
  }
  await clock.advance(1000);
  assert.equal(grants.serves("shard:0"), false);
  assert.ok(grants.puts.length <= 7, `${grants.puts.length} puts`);
  await stop();
});

// Guards against a dispatch term that ends because the upstream refuses one of
// its own messages, which was repeated or delayed.
test("only a grant with a later epoch ends the dispatch term", async () => {
  const { clock, grants, superseded, stop } = start();
  await clock.advance(100);
  grants.held = { ...grants.held, seq: 50 };
  await clock.advance(1000);
  assert.equal(superseded(), 0);
  assert.ok(grants.held.seq > 50);
  grants.held = { ...grants.held, epoch: 8 };
  await clock.advance(500);
  assert.ok(superseded() > 0);
  await stop();
});

// Guards against a grant that is valid for hours at an upstream whose clock
// restarted at zero.
test("detects a restarted upstream clock with the next answer", async () => {
  const { clock, grants, stop } = start(100_000);
  await clock.advance(100);
  grants.clockOffset = 0;
  grants.held = { ...grants.held, epoch: 0, seq: 0, units: [] };
  await clock.advance(500);
  const left = grants.held.expiresAt - clock.now();
  assert.ok(left > 0 && left <= 2000, `${left} ms left`);
  await stop();
});
