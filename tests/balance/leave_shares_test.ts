import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaveShares } from "../../src/balance/leave_shares.ts";
import type { DomainPlan } from "../../src/balance/domain_plan.ts";

const UPDATE_MS = 100;
const WAVE_MS = 13_000;

/** Domains with 100 slots and these demands. */
function domainsWith(
  demands: Record<string, number>,
): DomainPlan["domains"] {
  return new Map(
    Object.entries(demands).map(([domain, pressure]) => [domain, {
      slots: 100,
      pressure,
      demand: pressure,
      share: 0,
      otherRegion: domain.startsWith("b"),
    }]),
  );
}

describe("LeaveShares", () => {
  // Guards against traffic between domains that no domain needs.
  it("keeps all requests below the demand at which leaving starts", () => {
    const shares = new LeaveShares();
    for (let update = 0; update < 50; update++) {
      shares.update("a1", domainsWith({ a1: 0.89, a2: 0.1 }), 100 * update);
    }
    assert.equal(shares.total, 0);
  });

  it("answers a wave within 300 ms and fills the other domain's free slots", () => {
    const shares = new LeaveShares();
    const domains = domainsWith({ a1: 1.5, a2: 0.3 });
    for (let ms = 0; ms < 300; ms += UPDATE_MS) {
      shares.update("a1", domains, ms);
    }
    const share = domains.get("a2")?.share ?? 0;
    // 65 of 150 requests exceed the target; 55 slots are free.
    assert.ok(share > 0.3 && share <= 0.4, `share is ${share}`);
  });

  it("sends nothing to a domain that is as loaded", () => {
    const shares = new LeaveShares();
    shares.update("a1", domainsWith({ a1: 1.5, a2: 1.4 }), 0);
    assert.equal(shares.total, 0);
  });

  it("plans for another region only when the own domain queues much", () => {
    for (
      const { pressure, leaves } of [
        { pressure: 1.3, leaves: false },
        { pressure: 2, leaves: true },
      ]
    ) {
      const shares = new LeaveShares();
      const domains = domainsWith({ a1: pressure, b1: 0.2 });
      shares.update("a1", domains, 0);
      assert.equal((domains.get("b1")?.share ?? 0) > 0, leaves);
    }
  });

  // Guards against a share that starts and ends many times in one wave, and
  // against one that remains after it.
  it("begins and ends once in each wave of 13 s and returns everything", () => {
    const shares = new LeaveShares();
    let changes = 0;
    let before = 0;
    for (let ms = 0; ms < 3 * WAVE_MS; ms += UPDATE_MS) {
      const wave = Math.sin(2 * Math.PI * ms / WAVE_MS);
      // Measured arrivals are noisy.
      const noise = ms / UPDATE_MS % 2 === 0 ? 0.04 : -0.04;
      const a1 = 0.7 * (1 + 0.55 * wave) + noise;
      const a2 = 0.7 * (1 - 0.55 * wave) - noise;
      shares.update("a1", domainsWith({ a1, a2 }), ms);
      const { total } = shares;
      if ((total === 0) !== (before === 0)) changes++;
      before = total;
    }
    assert.equal(changes, 6);
    for (let ms = 0; ms < 3000; ms += UPDATE_MS) {
      shares.update(
        "a1",
        domainsWith({ a1: 0.5, a2: 0.5 }),
        3 * WAVE_MS + ms,
      );
    }
    assert.equal(shares.total, 0);
    assert.equal(shares.announced, 0);
  });
});
