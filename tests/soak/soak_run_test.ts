import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { SoakRun } from "../../dev/soak/soak_run.ts";

const TEST_MS = 120_000;
/** One with faults, and one with planned work alone. */
const SEEDS = [2, 3];

describe("a short soak", () => {
  for (const seed of SEEDS) {
    it(`keeps all promises, seed ${seed}`, { timeout: TEST_MS }, async () => {
      const dir = mkdtempSync(join(tmpdir(), "fescuerun-soak-test-"));
      const { broken, answered } = await SoakRun.play({
        seed,
        dir,
        routers: 3,
        upstreams: 4,
        callers: 8,
        forMs: 8000,
      });
      assert.deepEqual(broken, [], `logs: ${dir}`);
      assert.ok(answered > 100, `${answered} requests were answered`);
      rmSync(dir, { recursive: true });
    });
  }
});
