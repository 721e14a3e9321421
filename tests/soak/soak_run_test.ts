import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { SoakRun } from "../../dev/soak/soak_run.ts";

const TEST_TIMEOUT_MS = 120_000;
const SHORT = { routers: 3, upstreams: 4, callers: 8, durationMs: 8000 };
const FULL = { routers: 4, upstreams: 6, callers: 16, durationMs: 21_000 };
const PARTITIONS = { ...FULL, durationMs: 24_000 };
const CASES: readonly { name: string; seed: number; size: typeof SHORT }[] = [
  { name: "faults", seed: 2, size: SHORT },
  { name: "planned work only", seed: 3, size: SHORT },
  {
    // Guards against two owners of a key: an upstream that restarted under the
    // same id accepts a renewal that was meant for its previous incarnation,
    // while the leader grants the keys to another upstream.
    name: "one owner per key after a restart under the same id",
    seed: 1009,
    size: FULL,
  },
  {
    // Guards against two owners of a key: a leader steps down, and its
    // successor does not know that the leader before it still sends orders.
    name: "one owner per key after two changes of the leader",
    seed: 3001,
    size: FULL,
  },
  {
    // Guards against two owners of a key: the leases that an earlier leader
    // granted until it stopped are forgotten by its successor.
    name: "one owner per key after a partition of the leader",
    seed: 8,
    size: PARTITIONS,
  },
  {
    // Guards against two owners of a key: an order that has timed out is
    // delivered after a partition, when its lease counts as expired.
    name: "one owner per key after a partition of its owner",
    seed: 10,
    size: PARTITIONS,
  },
];

describe("a short soak", () => {
  for (const { name, seed, size } of CASES) {
    it(
      `keeps all guarantees: ${name}`,
      { timeout: TEST_TIMEOUT_MS },
      async () => {
        const dir = mkdtempSync(join(tmpdir(), "fescuerun-soak-test-"));
        const { failures, answered } = await SoakRun.run({
          seed,
          dir,
          ...size,
        });
        assert.deepEqual(failures, [], `logs: ${dir}`);
        assert.ok(answered > 100, `${answered} requests were answered`);
        rmSync(dir, { recursive: true });
      },
    );
  }
});
