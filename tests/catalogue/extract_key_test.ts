import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { extractKey } from "../../src/catalogue/extract_key.ts";
import type { KeySource } from "../../src/catalogue/key_source.ts";

const HEADER: KeySource = { kind: "header", name: "X-Key" };
const PATH: KeySource = { kind: "path", segment: 1 };
const QUERY: KeySource = { kind: "query", name: "key" };

const cases: {
  name: string;
  source: KeySource;
  target?: string;
  header?: string[];
  expected: string | undefined;
}[] = [
  {
    name: "no key for a source of kind none",
    source: { kind: "none" },
    expected: undefined,
  },
  {
    name: "value with a space",
    source: HEADER,
    header: ["k 1"],
    expected: "k 1",
  },
  { name: "absent header", source: HEADER, expected: "missing_key" },
  {
    name: "empty header",
    source: HEADER,
    header: [""],
    expected: "bad_key",
  },
  {
    name: "a repeated header, as an upstream could use the other value",
    source: HEADER,
    header: ["a", "b"],
    expected: "bad_key",
  },
  {
    name: "a header is not percent-decoded",
    source: HEADER,
    header: ["a%zz"],
    expected: "a%zz",
  },
  {
    name: "a header in UTF-8 gives the same key as a path",
    source: HEADER,
    header: [Buffer.from("ñ").toString("latin1")],
    expected: "ñ",
  },
  {
    name: "a header that is not UTF-8",
    source: HEADER,
    header: ["\u00f1"],
    expected: "bad_key",
  },
  {
    name: "last segment before a query",
    source: PATH,
    target: "/b/k?x",
    expected: "k",
  },
  {
    name: "percent-encoded segment of a longer path",
    source: PATH,
    target: "/b/k%20%c3%b1/c",
    expected: "k ñ",
  },
  {
    name: "path without the segment; a query is not part of it",
    source: PATH,
    target: "/b?/k",
    expected: "missing_key",
  },
  {
    name: "empty segment",
    source: PATH,
    target: "/b//k",
    expected: "bad_key",
  },
  {
    name: "invalid percent-encoding",
    source: PATH,
    target: "/b/%f",
    expected: "bad_key",
  },
  {
    name: "invalid UTF-8",
    source: PATH,
    target: "/b/%ff",
    expected: "bad_key",
  },
  {
    name: "512 bytes are accepted",
    source: PATH,
    target: `/b/${"a".repeat(512)}`,
    expected: "a".repeat(512),
  },
  {
    name: "513 bytes, counted after decoding, are refused",
    source: PATH,
    target: `/b/${"%c3%b1".repeat(256)}a`,
    expected: "bad_key",
  },
  {
    name: "second parameter",
    source: QUERY,
    target: "/?a=1&key=k",
    expected: "k",
  },
  {
    name: "query without the key",
    source: QUERY,
    target: "/?akey=1",
    expected: "missing_key",
  },
  { name: "no query", source: QUERY, target: "/", expected: "missing_key" },
  {
    name: "parameter with an empty value",
    source: QUERY,
    target: "/?key=",
    expected: "bad_key",
  },
  {
    name: "parameter without a value",
    source: QUERY,
    target: "/?key",
    expected: "bad_key",
  },
  {
    name: "a repeated parameter, also with an encoded name",
    source: QUERY,
    target: "/?key=a&k%65y=b",
    expected: "bad_key",
  },
  {
    name: "a plus sign is decoded as a space",
    source: QUERY,
    target: "/?key=a+b%2Bc",
    expected: "a b+c",
  },
  {
    name: "a value with invalid percent-encoding",
    source: QUERY,
    target: "/?key=%",
    expected: "bad_key",
  },
  {
    name: "invalid encoding of another parameter is ignored",
    source: QUERY,
    target: "/?%zz=1&key=k=1",
    expected: "k=1",
  },
];

for (const { name, source, target = "/", header, expected } of cases) {
  test(`key (${source.kind}): ${name}`, () => {
    const result = extractKey(source, {
      target,
      headers: { "x-key": header },
    });
    assert.equal(result.isOk() ? result.value : result.error, expected);
  });
}

const anyKey = fc.string({ unit: "grapheme", minLength: 1, maxLength: 60 })
  .filter((key) => !key.includes("\0") && Buffer.byteLength(key) <= 512);

test("every key is extracted unchanged from header, path and query", () => {
  fc.assert(fc.property(anyKey, (key) => {
    const sent: [KeySource, string, string[] | undefined][] = [
      [HEADER, "/", [Buffer.from(key).toString("latin1")]],
      [PATH, `/b/${encodeURIComponent(key)}/c?d`, undefined],
      [QUERY, `/?a&key=${encodeURIComponent(key)}&b=c`, undefined],
      [QUERY, `/?${new URLSearchParams({ key }).toString()}`, undefined],
    ];
    for (const [source, target, header] of sent) {
      const result = extractKey(source, {
        target,
        headers: { "x-key": header },
      });
      assert.equal(result._unsafeUnwrap(), key);
    }
  }));
});

test("extraction does not throw for any request", () => {
  fc.assert(fc.property(
    fc.constantFrom(HEADER, PATH, QUERY),
    fc.oneof(fc.string(), fc.constantFrom("/b/%", "/?key=%&=&&", "?", "")),
    fc.array(fc.string({ unit: "binary" })),
    (source, target, header) => {
      const result = extractKey(source, {
        target,
        headers: { "x-key": header },
      });
      if (result.isOk()) assert.ok(result.value);
    },
  ));
});
