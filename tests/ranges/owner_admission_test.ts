import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ownerAdmission } from "../../src/ranges/owner_admission.ts";
import { withAdmission } from "../../src/ranges/with_admission.ts";

const CAPACITY_PER_S = 20;
const SAMPLE_S = 1.5;

function admissionOf(
  ratePerS: number,
  before: Readonly<Record<string, number>> = {},
): Readonly<Record<string, number>> {
  return ownerAdmission(
    [{ id: "u-1", ratePerS, capacityPerS: CAPACITY_PER_S }],
    { sampleS: SAMPLE_S, before },
  );
}

describe("ownerAdmission", () => {
  // Load pattern `hot_key`: one key gets four times what its owner can serve.
  // Guards against requests that an upstream queues until all are late, or
  // never answers.
  it("admits what an overloaded owner can serve", () => {
    const fraction = admissionOf(80)["u-1"] ?? 1;
    const admittedPerS = fraction * 80;
    assert.ok(admittedPerS <= CAPACITY_PER_S, `${admittedPerS} requests/s`);
    assert.ok(admittedPerS > 0.8 * CAPACITY_PER_S, `${admittedPerS}`);
  });

  // Guards against refusals for random variation of the measured rate.
  it("refuses nothing up to two standard errors above the capacity", () => {
    assert.deepEqual(admissionOf(CAPACITY_PER_S + 7), {});
  });

  // Guards against fractions that change, and rows that are written, with each
  // measurement.
  it("keeps a fraction while the load is nearly the same", () => {
    const before = admissionOf(80);
    assert.equal(admissionOf(85, before), before);
  });

  it("ends when the load is below the owner's capacity", () => {
    assert.deepEqual(admissionOf(17, { "u-1": 0.5 }), {});
    assert.notDeepEqual(admissionOf(19, { "u-1": 0.5 }), {});
  });
});

describe("withAdmission", () => {
  it("counts the rates of all ranges of an owner", () => {
    const owner = { id: "u-1", incarnation: 1 };
    const document = {
      schema: 1 as const,
      nextFence: 3,
      ranges: [
        { first: 0, last: 99, owner, fence: 1, previous: [] },
        { first: 100, last: 65_535, owner, fence: 2, previous: [] },
      ],
    };
    const input = {
      upstreams: [{ ...owner, capacityPerS: CAPACITY_PER_S }],
      sampleS: SAMPLE_S,
    };
    const overloaded = withAdmission(document, {
      ...input,
      rates: [[50, 20], [60_000, 20]],
    });
    assert.ok((overloaded.admission?.["u-1"] ?? 1) < 0.5, "not limited");
    const calm = withAdmission(overloaded, { ...input, rates: [[50, 2]] });
    assert.equal(calm.admission, undefined);
    assert.equal(withAdmission(calm, { ...input, rates: [[50, 2]] }), calm);
  });
});
