import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { httpHeaders } from "../../platform/http_headers.ts";
import type { CallerCall } from "../../src/direct/caller_call.ts";

const call: CallerCall = {
  requestId: "r1",
  method: "GET",
  target: "/a/",
  host: "h",
  headers: { host: "h", "x-own": "1" },
  body: undefined,
  receivedAt: 0,
  deadlineMs: 1000,
  key: 7,
};

describe("httpHeaders", () => {
  const calls: [string, Record<string, string>, object][] = [
    ["request id, deadline and key", {
      "fescuerun-request-id": "r1",
      "fescuerun-request-deadline": "1000",
      "fescuerun-shard-key": "65535",
    }, { requestId: "r1", deadlineMs: 1000, key: 65_535 }],
    ["a request without headers", {}, {
      deadlineMs: undefined,
      key: undefined,
    }],
    ["a key above 65,535 as no key", { "fescuerun-shard-key": "65536" }, {
      deadlineMs: undefined,
      key: undefined,
    }],
    ["a deadline that is not a number as no deadline", {
      "fescuerun-request-deadline": "soon",
    }, { deadlineMs: undefined, key: undefined }],
  ];
  for (const [name, headers, expected] of calls) {
    it(`reads ${name}`, () =>
      assert.deepEqual(httpHeaders.readCall(headers), expected));
  }

  it("sends the upstream's id and the remaining time instead of the caller's", () => {
    const headers = Object.fromEntries(
      httpHeaders.upstreamHeaders(call, "i-1", 812.7),
    );
    assert.equal(headers["fescuerun-expected-instance"], "i-1");
    assert.equal(headers["fescuerun-request-deadline"], "812");
    assert.equal(headers["fescuerun-shard-key"], "7");
    assert.equal(headers["x-own"], "1");
  });

  // A Node.js upstream keeps only the first 2,000 header lines, and an object
  // lists integer names first. Guards against a client whose many headers push
  // out those of the router, and against its own copies of them.
  it("sends the router's headers before the client's", () => {
    const headers = {
      "7": "x",
      "fescuerun-request-id": "own",
      "fescuerun-expected-instance": "i-9",
      "fescuerun-request-deadline": ["1", "2"],
      "fescuerun-tenant-id": "own",
      "fescuerun-credential": "key",
    };
    const tenant = {
      name: "acme",
      keyDigests: [],
      ratePerS: 0,
      burst: 0,
      homeRegions: [],
    };
    const sent = (call: CallerCall) =>
      [
        ...httpHeaders.upstreamHeaders(call, "i-1", 812.7),
      ].map(([name, value]) => `${name}=${String(value)}`);
    const own = [
      "fescuerun-request-id=r1",
      "fescuerun-request-deadline=812",
      "fescuerun-expected-instance=i-1",
      "fescuerun-shard-key=7",
    ];
    assert.deepEqual(sent({ ...call, headers }), [...own, "7=x"]);
    assert.deepEqual(
      sent({ ...call, headers, tenant }),
      [...own, "fescuerun-tenant-id=acme", "7=x"],
    );
  });

  const answers: [string, number, Record<string, string>, object][] = [
    ["a signed response with its load", 200, {
      "fescuerun-request-id": "r1",
      "fescuerun-response-signature": "s",
      "fescuerun-server-load": "3,1,2,150",
    }, {
      notExecuted: false,
      misdirected: false,
      otherInstance: false,
      leaving: false,
      pauseMs: undefined,
      identity: "same",
      signed: true,
      load: { running: 3, waiting: 1, slots: 2, slowdown: 1.5 },
    }],
    ["the response to another request", 200, { "fescuerun-request-id": "r2" }, {
      notExecuted: false,
      misdirected: false,
      otherInstance: false,
      leaving: false,
      pauseMs: undefined,
      identity: "other",
      signed: false,
      load: undefined,
    }],
    ["a 421 of another instance", 421, { "fescuerun-instance-id": "i-2" }, {
      notExecuted: true,
      misdirected: true,
      otherInstance: true,
      leaving: false,
      pauseMs: undefined,
      identity: "absent",
      signed: false,
      load: undefined,
    }],
    [
      "a 421 for a key that is not held",
      421,
      { "fescuerun-not-executed": "1" },
      {
        notExecuted: true,
        misdirected: true,
        otherInstance: false,
        leaving: false,
        pauseMs: undefined,
        identity: "absent",
        signed: false,
        load: undefined,
      },
    ],
    // A 503 alone does not prove that the request has not run.
    ["a 503 without headers", 503, {}, {
      notExecuted: false,
      misdirected: false,
      otherInstance: false,
      leaving: false,
      pauseMs: undefined,
      identity: "absent",
      signed: false,
      load: undefined,
    }],
  ];
  for (const [name, status, headers, expected] of answers) {
    it(`reads ${name}`, () =>
      assert.deepEqual(
        httpHeaders.readAnswer(call, "i-1", status, headers),
        expected,
      ));
  }

  // Server-Leaving, and whether the upstream leaves.
  const leaving: [string | string[], boolean][] = [
    ["1", true],
    [" 1 ", true],
    [["1", "1"], true],
    ["0", false],
    ["", false],
    ["true", false],
  ];
  for (const [value, expected] of leaving) {
    it(`reads Server-Leaving ${JSON.stringify(value)}`, () => {
      for (const status of [200, 421, 500, 503]) {
        const answer = httpHeaders.readAnswer(call, "i-1", status, {
          "server-leaving": value,
        });
        assert.equal(answer.leaving, expected);
      }
    });
  }

  // Retry-After of a 503, and the pause in milliseconds.
  const pauses: [string, number | undefined][] = [
    ["2", 2000],
    ["0.25", 250],
    ["0", 0],
    ["300", 300_000],
    // Longer ones are more likely a mistake.
    ["3600", 300_000],
    ["999999999999999", 300_000],
    ["9".repeat(400), undefined],
    ["-1", undefined],
    ["1e3", undefined],
    ["soon", undefined],
    ["", undefined],
    ["Wed, 21 Oct 2026 07:28:00 GMT", undefined],
  ];
  for (const [value, expected] of pauses) {
    it(`reads Retry-After ${JSON.stringify(value.slice(0, 20))}`, () => {
      const headers = { "retry-after": value };
      assert.equal(
        httpHeaders.readAnswer(call, "i-1", 503, headers).pauseMs,
        expected,
      );
      assert.equal(
        httpHeaders.readAnswer(call, "i-1", 429, headers).pauseMs,
        undefined,
      );
    });
  }

  it("accepts any load header and never reports 0 slots or 0 slowdown", () => {
    fc.assert(fc.property(fc.string(), (text) => {
      const answer = httpHeaders.readAnswer(call, "i-1", 200, {
        "fescuerun-server-load": text,
      });
      if (answer.load === undefined) return;
      assert.ok(answer.load.slots > 0);
      assert.ok(answer.load.slowdown > 0);
    }));
  });
});
