import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { extractKey } from "../../src/catalogue/extract_key.ts";
import type { KeySource } from "../../src/catalogue/key_source.ts";

const HEADER: KeySource = { kind: "header", name: "X-Key" };
const PATH: KeySource = { kind: "path", segment: 1 };
const QUERY: KeySource = { kind: "query", name: "key" };

const cases: {
  guards: string;
  source: KeySource;
  target?: string;
  header?: string[];
  expected: string | undefined;
}[] = [
  {
    guards: "no key is needed",
    source: { kind: "none" },
    expected: undefined,
  },
  { guards: "header", source: HEADER, header: ["k 1"], expected: "k 1" },
  { guards: "absent header", source: HEADER, expected: "missing_key" },
  {
    guards: "empty header",
    source: HEADER,
    header: [""],
    expected: "bad_key",
  },
  {
    guards: "a repeated header, of which an upstream could read the other",
    source: HEADER,
    header: ["a", "b"],
    expected: "bad_key",
  },
  {
    guards: "a header is not percent-decoded",
    source: HEADER,
    header: ["a%zz"],
    expected: "a%zz",
  },
  {
    guards: "a header has the same key as the path for the same text",
    source: HEADER,
    header: [Buffer.from("ñ").toString("latin1")],
    expected: "ñ",
  },
  {
    guards: "a header that is not UTF-8",
    source: HEADER,
    header: ["\u00f1"],
    expected: "bad_key",
  },
  { guards: "path", source: PATH, target: "/b/k?x", expected: "k" },
  {
    guards: "a longer path",
    source: PATH,
    target: "/b/k%20%c3%b1/c",
    expected: "k ñ",
  },
  {
    guards: "short path",
    source: PATH,
    target: "/b?/k",
    expected: "missing_key",
  },
  {
    guards: "empty segment",
    source: PATH,
    target: "/b//k",
    expected: "bad_key",
  },
  {
    guards: "bad encoding",
    source: PATH,
    target: "/b/%f",
    expected: "bad_key",
  },
  { guards: "bad UTF-8", source: PATH, target: "/b/%ff", expected: "bad_key" },
  {
    guards: "512 bytes fit",
    source: PATH,
    target: `/b/${"a".repeat(512)}`,
    expected: "a".repeat(512),
  },
  {
    guards: "513 bytes do not, counted after decoding",
    source: PATH,
    target: `/b/${"%c3%b1".repeat(256)}a`,
    expected: "bad_key",
  },
  { guards: "query", source: QUERY, target: "/?a=1&key=k", expected: "k" },
  {
    guards: "query without the key",
    source: QUERY,
    target: "/?akey=1",
    expected: "missing_key",
  },
  { guards: "no query", source: QUERY, target: "/", expected: "missing_key" },
  {
    guards: "empty value",
    source: QUERY,
    target: "/?key=",
    expected: "bad_key",
  },
  { guards: "no value", source: QUERY, target: "/?key", expected: "bad_key" },
  {
    guards: "a repeated parameter, also with an encoded name",
    source: QUERY,
    target: "/?key=a&k%65y=b",
    expected: "bad_key",
  },
  {
    guards: "a plus sign is a space",
    source: QUERY,
    target: "/?key=a+b%2Bc",
    expected: "a b+c",
  },
  {
    guards: "a bad value",
    source: QUERY,
    target: "/?key=%",
    expected: "bad_key",
  },
  {
    guards: "another parameter with bad encoding is no reason to refuse",
    source: QUERY,
    target: "/?%zz=1&key=k=1",
    expected: "k=1",
  },
];

for (const { guards, source, target = "/", header, expected } of cases) {
  test(`key (${source.kind}): ${guards}`, () => {
    const result = extractKey(source, {
      target,
      headers: { "x-key": header },
    });
    assert.equal(result.isOk() ? result.value : result.error, expected);
  });
}

const anyKey = fc.string({ unit: "grapheme", minLength: 1, maxLength: 60 })
  .filter((key) => !key.includes("\0") && Buffer.byteLength(key) <= 512);

test("every key survives each way of sending it", () => {
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

test("no request makes the extraction throw", () => {
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
