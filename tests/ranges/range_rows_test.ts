import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { encodeRangeDocument } from "../../src/ranges/encode_range_document.ts";
import type { RangeDocument } from "../../src/ranges/range_document.ts";
import { readRangeTable } from "../../src/ranges/read_range_table.ts";
import { silentLogger } from "../support/silent_logger.ts";

/** The platform's limit on the base64 length of a row's value. */
const MAX_ROW_BYTES = 65_536;
const KEY_COUNT = 65_536;

/** Creates a document as it is after many moves. */
function documentOf(ranges: number, owners: number): RangeDocument {
  const width = Math.floor(KEY_COUNT / ranges);
  return {
    schema: 1,
    nextFence: 5 * ranges,
    ranges: Array.from({ length: ranges }, (_, index) => ({
      first: index * width,
      last: index === ranges - 1 ? KEY_COUNT - 1 : (index + 1) * width - 1,
      owner: {
        id: `i-${(0x9d3a51c7 * (1 + index % owners)).toString(16)}`,
        incarnation: 1_796_000_000_000 + 7919 * (index % owners),
      },
      fence: 1 + 3 * index,
      previous: [],
    })),
  };
}

function read(value: Uint8Array) {
  const lines: Parameters<typeof silentLogger>[0] & object = [];
  const table = readRangeTable(
    { table: "ranges", key: "ledger", value, version: 7 },
    silentLogger(lines),
  );
  return { table, lines };
}

test("1,800 ranges of 600 upstreams fit into a row", () => {
  // Guards against a leader that can no longer write the row after hot keys
  // have split the ranges of a large service.
  const value = encodeRangeDocument(documentOf(1800, 600));
  assert.ok(Buffer.from(value).toString("base64").length <= MAX_ROW_BYTES);
});

test("a decoded row equals the encoded one", () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 300 }),
    fc.integer({ min: 1, max: 40 }),
    (ranges, owners) => {
      const document = documentOf(ranges, owners);
      const { table } = read(encodeRangeDocument(document));
      assert.deepEqual(table?.document, document);
      assert.equal(table.version, 7);
    },
  ));
});

test("an uncompressed row of an earlier version is decoded", () => {
  const document = documentOf(20, 5);
  assert.deepEqual(
    read(Buffer.from(JSON.stringify(document))).table?.document,
    document,
  );
});

test("a row that this program did not write is rejected and logged", () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (value) => {
    const { table, lines } = read(value);
    assert.equal(table, undefined);
    assert.equal(lines.length, 1);
  }));
});
