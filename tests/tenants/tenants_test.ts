import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import fc from "fast-check";
import type { RawCaller } from "../support/raw_caller.ts";
import { TenantRig } from "../support/tenant_rig.ts";

const KEY = "k3y-0f-acme";
const CREDENTIAL = `Fescuerun-Credential: ${KEY}`;
const KEYS = { acme: [KEY, "k\u00e9y, 2"], globex: ["other"] };
const FORGED = "Fescuerun-Tenant-Id: forged";
const REJECT = "503 X\r\nFescuerun-Not-Executed: 1\r\nContent-Length: 4\r\n";
const FAIL = "500 X\r\nContent-Length: 4\r\n" +
  "Fescuerun-Response-Signature: s\r\n";

async function withRig(
  run: (rig: TenantRig) => Promise<void>,
  ...fields: Parameters<TenantRig["start"]>
) {
  const rig = await new TenantRig().start(...fields);
  try {
    rig.configure(KEYS);
    await run(rig);
  } finally {
    await rig.close();
  }
}

describe("requests of tenants", () => {
  // Path, header lines ("K" is the key), status, and the tenant that the
  // upstream sees. Guards against a credential that is taken from an unclear
  // request, and against keys and forged tenants that reach an upstream, a log
  // line or a metric.
  const cases: [string, string, number, string?][] = [
    ["/a/x", "Fescuerun-Credential: K", 200, "acme"],
    ["/a/x", "FESCUERUN-credential:K", 200, "acme"],
    ["/a/x", "Fescuerun-Credential: \t K \t", 200, "acme"],
    ["/a/x", "Fescuerun-Credential: k\u00c3\u00a9y, 2", 200, "acme"],
    ["/a/x", `${FORGED}|Fescuerun-Credential: K|${FORGED}`, 200, "acme"],
    ["/a/x", `${FORGED.toUpperCase()}|Fescuerun-Credential: K`, 200, "acme"],
    [
      "/a/x",
      "Connection: fescuerun-credential|Fescuerun-Credential: K",
      200,
      "acme",
    ],
    ["/a/x", FORGED, 401],
    ["/a/x", "Fescuerun-Credential:", 401],
    ["/a/x", "Fescuerun-Credential: Kx", 401],
    ["/a/x", "Fescuerun-Credential: k3Y-0f-acme", 401],
    ["/a/x", "Fescuerun-Credential: Bearer K", 401],
    ["/a/x", `Fescuerun-Credential: ${"x".repeat(300)}`, 401],
    ["/a/x", "Fescuerun-Credential: K|Fescuerun-Credential: K", 401],
    ["/a/x", "fescuerun-credential:|Fescuerun-Credential: K", 401],
    ["/a/x", "Fescuerun-Credential: K, K", 401],
    [
      "/open/x",
      `Fescuerun-Credential: K|${FORGED}|FESCUERUN-CREDENTIAL: K`,
      200,
    ],
    ["/open/x", "X: 1", 200],
    ["/none/x", "X: 1", 404],
    ["/none/x", "Fescuerun-Credential: K", 404],
  ];
  for (const [path, headers, status, tenant] of cases) {
    it(`answers ${path} with ${headers.slice(0, 80)}: ${status}`, () =>
      withRig(async (rig) => {
        const lines = headers.replaceAll("K", KEY).split("|");
        const answer = await rig.send(lines, path);
        assert.equal(answer.status, status, answer.text);
        if (status === 401) assert.match(answer.text, /"unknown_credential"/);
        const received = rig.received.join();
        assert.equal(rig.received.length, status === 200 ? 1 : 0);
        assert.equal(/tenant-id: (\S+)/i.exec(received)?.[1], tenant);
        assert.doesNotMatch(received, /credential|forged/i);
        const told = JSON.stringify(rig.lines) + answer.text + received +
          await rig.metrics.registry.metrics();
        assert.ok(!told.includes(KEY), told);
      }));
  }

  it("serves without keys and without a tenant if there are no tenants", () =>
    withRig(async (rig) => {
      rig.configure();
      assert.equal((await rig.send([CREDENTIAL, FORGED])).status, 200);
      assert.doesNotMatch(rig.received.join(), /tenant|credential/i);
      assert.deepEqual(rig.admitted, []);
    }));

  // Guards against memory and time for bodies of clients without a key.
  it("refuses before the body, with and without 100 Continue", () =>
    withRig(async (rig) => {
      for (const expect of ["", "Expect: 100-continue\r\n"]) {
        const caller = rig.caller().write(
          `POST /a/x HTTP/1.1\r\nHost: h.example\r\n${expect}` +
            "Content-Length: 500\r\n\r\n",
        );
        assert.match(await caller.until(/\}$/), /^HTTP\/1.1 401 /);
        if (expect !== "") await caller.closed();
      }
    }));

  it("refuses a removed key on the next request of a connection", () =>
    withRig(async (rig) => {
      const request =
        `GET /a/x HTTP/1.1\r\nHost: h.example\r\n${CREDENTIAL}\r\n\r\n`;
      const caller = rig.caller().write(request);
      await caller.until(/body$/);
      rig.configure({ acme: [], globex: [KEY] });
      caller.write(request);
      await caller.until(/body[^]*body$/);
      assert.match(rig.received[1] ?? "", /tenant-id: globex\r/);
      rig.configure({});
      caller.write(request);
      await caller.until(/ 401 [^]*\}$/);
      assert.equal(rig.received.length, 2);
    }));

  // What the first upstream answers, and the outcome if the key is removed
  // meanwhile. Guards against a second attempt after that.
  const removals: [string, number, RegExp][] = [
    [REJECT, 401, /"unknown_credential","outcome":"not_run"/],
    [FAIL, 500, /body$/],
    [FAIL.replace("500", "200"), 200, /body$/],
  ];
  for (const [answer, status, text] of removals) {
    it(`sends once if the key is removed during an attempt: ${status}`, () =>
      withRig(async (rig) => {
        rig.answers = [answer];
        rig.onReceived = () => rig.configure({ globex: ["other"] });
        const outcome = await rig.send([CREDENTIAL]);
        assert.equal(outcome.status, status, outcome.text);
        assert.match(outcome.text, text);
        assert.equal(rig.received.length, 1);
        if (status === 401) assert.doesNotMatch(outcome.text, /retry-after/i);
      }));
  }

  // Guards against a hedge for a key that has been removed.
  it("sends no second copy of a slow request after the key is removed", () =>
    withRig(async (rig) => {
      rig.answers = [""];
      rig.onReceived = () => rig.configure({});
      const { status } = await rig.send([CREDENTIAL]);
      assert.equal(status, 504);
      assert.equal(rig.received.length, 1);
    }, { timeoutMs: 400, objectiveMs: 100 }));

  // Guards against the route of one configuration with the tenant of another,
  // and against a tenant that was found before the body was read.
  it("names the owner of a key while versions swap it", () =>
    withRig(async (rig) => {
      const owners = new Map<number, string>();
      let requests = 0;
      const swap = () => {
        const [first, second] = owners.size % 2 === 0
          ? [[KEY], ["other"]]
          : [["other"], [KEY]];
        const name = `route ${owners.size}`;
        const version = rig.configure({ acme: first, globex: second }, {
          name,
        });
        owners.set(version, `${name} ${first[0] === KEY ? "acme" : "globex"}`);
      };
      swap();
      const step = fc.constantFrom("swap", "start", "end");
      await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
          const open: RawCaller[] = [];
          const end = async (caller = open.shift()) => {
            await caller?.write("b").until(/ 200 [^]*body$/);
          };
          for (const step of steps) {
            if (step === "swap") swap();
            else if (step === "end") await end();
            else {
              open.push(
                rig.caller().write(
                  "POST /a/x HTTP/1.1\r\nHost: h.example\r\n" +
                    `Fescuerun-Request-Id: id-${requests++}\r\n${CREDENTIAL}` +
                    "\r\nContent-Length: 1\r\n\r\n",
                ),
              );
            }
            await setImmediate();
          }
          while (open.length > 0) await end();
        }),
        { numRuns: 30 },
      );
      const sent = new Map(
        rig.received.map((text) => [
          /request-id: (\S+)/.exec(text)?.[1],
          /tenant-id: (\S+)/.exec(text)?.[1],
        ]),
      );
      const ended = rig.lines.filter(({ args }) => args[1] === "request ended")
        .map(({ args }) => args[0] as Record<string, string | number>);
      assert.equal(ended.length, requests);
      for (const { reqId, config, route, tenant } of ended) {
        assert.equal(`${route} ${tenant}`, owners.get(Number(config)));
        assert.equal(sent.get(String(reqId)), tenant);
      }
    }));

  it("counts a request with retries once, and refuses above the limit", () =>
    withRig(async (rig) => {
      rig.answers = [REJECT];
      assert.equal((await rig.send([CREDENTIAL])).status, 200);
      assert.equal(rig.received.length, 2);
      assert.deepEqual(rig.admitted, ["acme"]);
      rig.admission = { kind: "limited", retryAfterMs: 1200.2 };
      const { status, text } = await rig.send([CREDENTIAL]);
      assert.equal(status, 429);
      assert.match(text, /retry-after: 1.201\r/i);
      assert.match(text, /"limit_exceeded","outcome":"not_run"/);
      assert.equal(rig.received.length, 2);
    }));
});
