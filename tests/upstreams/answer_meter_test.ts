import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { AnswerMeter } from "../../src/upstreams/answer_meter.ts";

const KIB = 1024;

describe("AnswerMeter", () => {
  it("bounds the bytes before the head is complete", () => {
    const meter = new AnswerMeter(1000);
    assert.equal(meter.check(1000 + 64 * KIB), undefined);
    assert.ok(meter.check(1001 + 64 * KIB) instanceof Error);
  });

  it("bounds the bytes around a body, not the body", () => {
    const meter = new AnswerMeter(0);
    meter.onHead(500);
    assert.equal(meter.check(500 + 64 * KIB), undefined);
    assert.ok(meter.check(501 + 64 * KIB) instanceof Error);
    meter.onBody(10 * KIB * KIB);
    assert.equal(meter.check(501 + 64 * KIB), undefined);
    assert.equal(meter.check(10 * KIB * KIB + 64 * KIB), undefined);
  });

  it("accepts bodies in chunks of any size", () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 1 << 20 }), { maxLength: 200 }),
      (chunks) => {
        const meter = new AnswerMeter(0);
        meter.onHead(300);
        let parsed = 300;
        for (const size of chunks) {
          parsed += size.toString(16).length + size + 4;
          meter.onBody(size);
          assert.equal(meter.check(parsed), undefined);
        }
      },
    ));
  });
});
