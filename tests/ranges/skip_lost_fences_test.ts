import assert from "node:assert/strict";
import { test } from "node:test";
import { skipLostFences } from "../../src/ranges/skip_lost_fences.ts";

// The leader of era 1 skipped tokens, and its row was lost in the second
// restore, to the same copy. Guards against a leader of era 2 that gives the
// same tokens again, so that upstreams refuse its grants for good.
test("skips to other tokens after a second restore to the same copy", () => {
  const copy = { schema: 1 as const, nextFence: 40, ranges: [] };
  const first = skipLostFences(copy, 1);
  const second = skipLostFences(copy, 2);
  const MOST_FENCES_OF_A_MINUTE = 200 * 4 * 65_536;
  assert.ok(
    first.nextFence > copy.nextFence + MOST_FENCES_OF_A_MINUTE,
    "first",
  );
  assert.ok(
    second.nextFence > first.nextFence + MOST_FENCES_OF_A_MINUTE,
    `${second.nextFence} after ${first.nextFence}`,
  );
});
