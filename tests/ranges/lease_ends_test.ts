import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LeaseEnds } from "../../src/ranges/lease_ends.ts";

describe("LeaseEnds", () => {
  // Guards against the age of the process in the log, in place of a lease's.
  it("has no age for an owner that has received no order", () => {
    const ends = new LeaseEnds();
    assert.equal(ends.endAgeMs("u-1/1", 20_000), undefined);
    assert.equal(ends.lastOrderAgeMs("u-1/1", 20_000), undefined);
    ends.begin("u-1/1", 20_000, 24_800)(24_300);
    assert.equal(ends.endAgeMs("u-1/1", 25_000), 700);
    assert.equal(ends.lastOrderAgeMs("u-1/1", 25_000), 5000);
  });
});
