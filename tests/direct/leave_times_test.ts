import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaveTimes } from "../../src/direct/leave_times.ts";

/** A new connection to an upstream, and a message between regions. */
const WAY_MS = 350 + 20;
const NOW = 100_000;

// Guards against times that do not fit into the bound of a deployment (DRAIN).
describe("LeaveTimes", () => {
  for (const changeBoundMs of [2500, 3000, 4000]) {
    const contactMs = changeBoundMs + 500;
    const times = new LeaveTimes({ changeBoundMs, contactMs });
    for (const latenessMs of [0, 600, 1000, 1500, 2400, changeBoundMs]) {
      it(`keeps ${changeBoundMs} ms if a leave is known ${latenessMs} ms late`, () => {
        const storedAt = NOW - latenessMs;
        const ownerUseEndsAt = Math.max(
          NOW,
          times.countsFrom(NOW, latenessMs) + times.ownerUseMs,
        );
        const neverSent = times.countsFrom(NOW, latenessMs) + times.ownerUseMs <
          NOW;
        assert.ok(
          neverSent || ownerUseEndsAt + WAY_MS <= storedAt + changeBoundMs,
        );
        const missingUseEndsAt = times.missingUseEndsAt(
          NOW,
          latenessMs,
          Number.NEGATIVE_INFINITY,
        );
        assert.ok(missingUseEndsAt + WAY_MS <= storedAt + changeBoundMs);
      });
    }

    it(`ends the use of missing upstreams before ${contactMs} ms of contact`, () => {
      const failedAt = NOW - 1200;
      const endsAt = times.missingUseEndsAt(NOW, 60_000, failedAt);
      assert.ok(endsAt > NOW);
      assert.ok(endsAt + WAY_MS <= failedAt + contactMs);
    });
  }
});
