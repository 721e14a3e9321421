import assert from "node:assert/strict";
import { test } from "node:test";
import { endToEndHeaders } from "../../src/links/end_to_end_headers.ts";

test("hop-by-hop headers are not forwarded", () => {
  const cases: [raw: string[], kept: Record<string, string | string[]>][] = [
    [["A", "1", "a", "2", "A", "3"], { a: ["1", "2", "3"] }],
    [["Transfer-Encoding", "chunked", "TE", "trailers", "B", "1"], { b: "1" }],
    [["Connection", "close, X-Hop", "X-Hop", "1", "X-End", "1"], {
      "x-end": "1",
    }],
    [["X-Hop", "1", "Connection", "x-hop"], {}],
    // A caller must not be able to remove the body's length or the host.
    [["Connection", "content-length, host", "Content-Length", "2"], {
      "content-length": "2",
    }],
    [["Expect", "100-continue", "FESCUERUN-Epoch", "4"], {}],
    [["Host", "a", "Host", "b"], { host: "a" }],
    [["__proto__", "x", "constructor", "y"], { constructor: "y" }],
  ];
  for (const [raw, kept] of cases) {
    assert.deepEqual({ ...endToEndHeaders(raw) }, kept, raw.join(" "));
  }
});
