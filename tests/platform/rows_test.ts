import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { readConfigRow } from "../../platform/read_config_row.ts";
import { readUpstreamRow } from "../../platform/read_upstream_row.ts";

const UPSTREAM = {
  service: "s1",
  address: "10.1.0.1:8080",
  zone: "a1",
  version: "v1",
  slots: 2,
  state: "ready",
  warmupRemaining: "1500ms",
  sequence: 4,
  born: 1771943084058,
};
const CONFIG = {
  version: "r12",
  services: [{
    name: "s1",
    healthCheckPath: "/health",
    maxConnections: 130,
    protocol: "h1",
    tls: false,
    warmup: "3s",
    warmupPerS: 3.6,
    sharded: true,
    warm: "2s",
  }],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 67108864,
    headerTimeout: "3000ms",
    idleTimeout: "15000ms",
  },
  hosts: [{
    host: "h.example",
    paths: [{
      name: "r1",
      prefix: "/a/",
      kind: "unsafe",
      timeout: "1.2s",
      targetLatency: "500ms",
      priority: 1,
      service: "s1",
      maxAttempts: 2,
      allowedRegions: ["sierra"],
    }],
  }],
};

function row(value: unknown, key = "i-1") {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return { table: "t", key, value: Buffer.from(text), version: 7 };
}

describe("readUpstreamRow", () => {
  it("reads an upstream's registry row", () => {
    assert.deepEqual(readUpstreamRow(row(UPSTREAM)), {
      id: "i-1",
      incarnation: 1771943084058,
      service: "s1",
      address: "10.1.0.1:8080",
      failureDomain: "a1",
      slots: 2,
      state: "ready",
      warmUpMs: 1500,
    });
  });

  // Other writers may overwrite a row with any content.
  const invalid: [string, unknown][] = [
    ["not JSON", "{"],
    ["a list", []],
    ["no service", { ...UPSTREAM, service: undefined }],
    ["an unknown state", { ...UPSTREAM, state: "zombie" }],
    ["slots as text", { ...UPSTREAM, slots: "2" }],
    ["0 slots", { ...UPSTREAM, slots: 0 }],
    ["an address with a host name", { ...UPSTREAM, address: "host:80" }],
    ["a duration without unit", { ...UPSTREAM, warmupRemaining: "1500" }],
    ["no start time", { ...UPSTREAM, born: undefined }],
    ["a start time that is not an integer", { ...UPSTREAM, born: 1.5 }],
  ];
  for (const [name, value] of invalid) {
    it(`rejects ${name}`, () =>
      assert.equal(readUpstreamRow(row(value)), undefined));
  }

  it("returns without an exception for any content", () => {
    fc.assert(fc.property(fc.uint8Array(), (value) => {
      readUpstreamRow({ table: "t", key: "k", value, version: 1 });
    }));
    fc.assert(fc.property(fc.json(), (text) => {
      readUpstreamRow(row(text));
    }));
  });
});

describe("readConfigRow", () => {
  it("reads routes, services and limits", () => {
    const config = readConfigRow(row(CONFIG))._unsafeUnwrap();
    assert.equal(config.version, 12);
    assert.deepEqual(config.routes, [{
      name: "r1",
      host: "h.example",
      prefix: "/a/",
      idempotent: false,
      timeoutMs: 1200,
      objectiveMs: 500,
      maxUpstreams: 2,
      priority: 1,
      parts: [{ service: "s1", weight: 1 }],
      homeRegions: ["sierra"],
    }]);
    assert.equal(config.services[0]?.keyed, true);
    assert.equal(config.services[0].warmUpMs, 3000);
    assert.equal(config.requests.idleTimeoutMs, 15_000);
  });

  const invalid: [string, unknown][] = [
    ["not JSON", "r12"],
    ["a version without the prefix r", { ...CONFIG, version: "12" }],
    ["no hosts", { ...CONFIG, hosts: undefined }],
    ["no limits", { ...CONFIG, limits: {} }],
  ];
  for (const [name, value] of invalid) {
    it(`rejects ${name}`, () => assert.ok(readConfigRow(row(value)).isErr()));
  }

  it("returns without an exception for any content", () => {
    fc.assert(fc.property(fc.json(), (text) => {
      readConfigRow(row(text));
    }));
  });
});
