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

const ROUTE = CONFIG.hosts[0]!.paths[0]!;

function withRoutes(paths: readonly unknown[]) {
  return { ...CONFIG, hosts: [{ host: "h.example", paths }] };
}

function row(value: unknown, key = "i-1") {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return { table: "t", key, value: Buffer.from(text), version: 7 };
}

describe("readUpstreamRow", () => {
  it("reads an upstream's registry row", () => {
    assert.deepEqual(readUpstreamRow(row(UPSTREAM)), {
      id: "i-1",
      incarnation: 1771943084058,
      heartbeat: 4,
      service: "s1",
      address: "10.1.0.1:8080",
      failureDomain: "a1",
      slots: 2,
      state: "ready",
      warmUpMs: 1500,
    });
  });

  // Guards against requests at an upstream of another service: another writer's
  // row, in which a field is missing or has another type, names a service.
  for (const field of Object.keys(UPSTREAM)) {
    for (const value of [undefined, null, {}]) {
      it(`rejects ${JSON.stringify(value)} as ${field}`, () =>
        assert.equal(
          readUpstreamRow(row({ ...UPSTREAM, [field]: value })),
          undefined,
        ));
    }
  }

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
    ["a port out of range", { ...UPSTREAM, address: "10.1.0.1:99999" }],
    ["a sequence that is not a count", { ...UPSTREAM, sequence: 1.5 }],
    ["port 0", { ...UPSTREAM, address: "10.1.0.1:0" }],
    ["an address out of range", { ...UPSTREAM, address: "999.1.1.1:80" }],
    ["an address without numbers", { ...UPSTREAM, address: "....:80" }],
    ["an address of no host", { ...UPSTREAM, address: "0.0.0.0:80" }],
    ["a warm-up of years", { ...UPSTREAM, warmupRemaining: "1e23ms" }],
    ["a long warm-up", { ...UPSTREAM, warmupRemaining: `${"9".repeat(23)}ms` }],
    ["too many slots", { ...UPSTREAM, slots: 1e9 }],
    ["a service without name", { ...UPSTREAM, service: "" }],
    ["a nested service", { ...UPSTREAM, service: [[[["s1"]]]] }],
  ];
  for (const [name, value] of invalid) {
    it(`rejects ${name}`, () =>
      assert.equal(readUpstreamRow(row(value)), undefined));
  }

  // The id is sent in a header.
  for (const id of ["", "a b", "a\nb", "\u540d", "x".repeat(201)]) {
    it(`rejects the id ${JSON.stringify(id.slice(0, 9))}`, () =>
      assert.equal(readUpstreamRow(row(UPSTREAM, id)), undefined));
  }

  it("reads addresses that can be connected to", () => {
    fc.assert(fc.property(fc.json(), fc.string(), (json, text) => {
      for (const address of [JSON.parse(json) as unknown, text]) {
        const entry = readUpstreamRow(row({ ...UPSTREAM, address }));
        if (entry !== undefined) new URL(`http://${entry.address}`);
      }
    }));
    fc.assert(fc.property(fc.ipV4(), fc.nat(99_999), (ip, port) => {
      const address = `${ip}:${port}`;
      const entry = readUpstreamRow(row({ ...UPSTREAM, address }));
      if (entry !== undefined) new URL(`http://${entry.address}`);
      const octet = Number(ip.split(".")[0]);
      const usable = octet > 0 && octet < 224 && port > 0 && port < 65_536;
      assert.equal(entry !== undefined, usable);
    }));
  });

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
    const { config, problems } = readConfigRow(row(CONFIG))._unsafeUnwrap();
    assert.deepEqual(problems, []);
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
    ["only unusable hosts", { ...CONFIG, hosts: [{ host: 1 }] }],
    ["services that are no list", { ...CONFIG, services: {} }],
  ];
  for (const [name, value] of invalid) {
    it(`rejects ${name}`, () => assert.ok(readConfigRow(row(value)).isErr()));
  }

  it("uses defaults for limits that cannot be read", () => {
    const { config, problems } = readConfigRow(row({ ...CONFIG, limits: {} }))
      ._unsafeUnwrap();
    assert.equal(config.requests.idleTimeoutMs, 15_000);
    assert.equal(problems.length, 1);
  });

  it("runs requests of an unknown kind at most once", () => {
    const kinds = fc.json().map((json) => JSON.parse(json) as unknown)
      .filter((kind) => kind !== "safe");
    fc.assert(fc.property(kinds, (kind) => {
      const value = withRoutes([{ ...ROUTE, kind }]);
      const { config } = readConfigRow(row(value))._unsafeUnwrap();
      assert.equal(config.routes[0]?.idempotent, false);
    }));
  });

  // Guards against one value that this version does not know, which takes the
  // whole configuration away.
  it("keeps the other routes and services if one part is replaced", () => {
    const routes = [
      ROUTE,
      { ...ROUTE, name: "r2", prefix: "/b/", service: "s2" },
      {
        ...ROUTE,
        name: "r3",
        prefix: "/a/c/",
        service: undefined,
        trafficSplit: [
          { service: "s1", weight: 1 },
          { service: "s2", weight: 3 },
        ],
      },
    ];
    const services = [...CONFIG.services, {
      ...CONFIG.services[0],
      name: "s2",
    }];
    const whole = { ...withRoutes(routes), services };
    const before = readConfigRow(row(whole))._unsafeUnwrap();
    assert.deepEqual(before.problems, []);
    const json = fc.json().map((text) => JSON.parse(text) as unknown);
    for (const index of routes.keys()) {
      const field = fc.constantFrom(...Object.keys(routes[index]!), "new");
      fc.assert(fc.property(field, json, (name, part) => {
        const { config } = readConfigRow(row({
          ...withRoutes(
            routes.map((route, at) =>
              at === index ? { ...route, [name]: part } : route
            ),
          ),
          services,
        }))._unsafeUnwrap();
        assert.deepEqual(config.services, before.config.services);
        for (const [at, kept] of before.config.routes.entries()) {
          if (at === index) continue;
          assert.deepEqual(
            config.routes.find((route) => route.name === kept.name),
            kept,
          );
        }
      }));
    }
    const limits = Object.keys(CONFIG.limits);
    fc.assert(
      fc.property(fc.constantFrom(...limits), json, (name, part) => {
        const { config } = readConfigRow(row({
          ...whole,
          limits: { ...CONFIG.limits, [name]: part },
        }))._unsafeUnwrap();
        assert.deepEqual(config.routes, before.config.routes);
      }),
    );
    const serviceFields = Object.keys(CONFIG.services[0]!);
    fc.assert(
      fc.property(fc.constantFrom(...serviceFields), json, (name, part) => {
        const { config } = readConfigRow(row({
          ...whole,
          services: [{ ...services[0], [name]: part }, services[1]],
        }))._unsafeUnwrap();
        assert.deepEqual(config.routes, before.config.routes);
        assert.ok(config.services.some((service) => service.name === "s2"));
      }),
    );
  });

  it("returns without an exception for any content", () => {
    fc.assert(fc.property(fc.json(), (text) => {
      readConfigRow(row(text));
    }));
  });
});
