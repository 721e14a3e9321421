import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { SoakRun } from "../../dev/soak/soak_run.ts";

const TEST_MS = 120_000;
const SHORT = { routers: 3, upstreams: 4, callers: 8, forMs: 8000 };
const FULL = { routers: 4, upstreams: 6, callers: 16, forMs: 21_000 };
const CASES: readonly { name: string; seed: number; size: typeof SHORT }[] = [
  { name: "faults", seed: 2, size: SHORT },
  { name: "planned work alone", seed: 3, size: SHORT },
  {
    // An upstream that had started again took a renewal for its former life,
    // and the leader gave its keys to another one.
    name: "two holders after a restart under the same id",
    seed: 1009,
    size: FULL,
  },
  {
    // A leader gave its lease up, and its successor did not know that the
    // leader before it still sent orders.
    name: "two holders after two changes of the keeper",
    seed: 3001,
    size: FULL,
  },
];

describe("a short soak", () => {
  for (const { name, seed, size } of CASES) {
    it(`keeps all promises: ${name}`, { timeout: TEST_MS }, async () => {
      const dir = mkdtempSync(join(tmpdir(), "fescuerun-soak-test-"));
      const { broken, answered } = await SoakRun.play({
        seed,
        dir,
        ...size,
      });
      assert.deepEqual(broken, [], `logs: ${dir}`);
      assert.ok(answered > 100, `${answered} requests were answered`);
      rmSync(dir, { recursive: true });
    });
  }
});
