import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { readConfigRow } from "../../platform/read_config_row.ts";
import { readTenants } from "../../platform/read_tenants.ts";
import { configRow } from "../../platform/standins/config_row.ts";
import { RoutingSnapshot } from "../../src/direct/routing_snapshot.ts";
import { apiKeyDigest } from "../../src/tenants/api_key_digest.ts";
import { RequestCredential } from "../../src/tenants/request_credential.ts";
import { FleetRig } from "../support/fleet_rig.ts";

const KEY = "s3cret-0f-acme";
const ACME = { name: "acme", apiKeys: [KEY] };
const GLOBEX = { name: "globex", apiKeys: ["other"] };

function row(text: string) {
  return { table: "op", key: "config", value: Buffer.from(text), version: 1 };
}

function ownersOf(value: unknown) {
  const problems: string[] = [];
  const tenants = readTenants(value, problems) ?? [];
  const owner = (key: string) =>
    tenants.find(({ keyDigests }) => keyDigests.includes(apiKeyDigest(key)))
      ?.name;
  return { acme: owner(KEY), globex: owner("other"), problems };
}

describe("readTenants", () => {
  // An entry beside `GLOBEX`, owner of its key, and the number of problems.
  // Guards against an entry that cannot be read and takes the other tenants or
  // the requirement for a key away, or leaves a key with the wrong tenant.
  const entries: [string, unknown, string | undefined, number][] = [
    ["without limits", ACME, "acme", 0],
    ["with a limit", { ...ACME, ratePerS: 2.5, burst: 0 }, "acme", 0],
    ["with a key twice", { ...ACME, apiKeys: [KEY, KEY] }, "acme", 0],
    ["with a bad key", { ...ACME, apiKeys: [KEY, 5, "", " a"] }, "acme", 3],
    ["without name", { apiKeys: [KEY] }, undefined, 1],
    ["with a name of two lines", { ...ACME, name: "a\r\nb" }, undefined, 1],
    ["with the name of another", { ...ACME, name: "globex" }, undefined, 1],
    ["with a limit as text", { ...ACME, ratePerS: "2" }, undefined, 1],
    ["with a negative limit", { ...ACME, burst: -1 }, undefined, 1],
    ["with a region as text", { ...ACME, allowedRegions: "a" }, undefined, 1],
    ["without keys", { name: "acme" }, undefined, 1],
    ["that is no object", KEY, undefined, 1],
  ];
  for (const [name, entry, owner, count] of entries) {
    it(`reads an entry ${name}`, () => {
      const { problems, ...owners } = ownersOf([GLOBEX, entry]);
      assert.deepEqual(owners, { acme: owner, globex: "globex" });
      assert.equal(problems.length, count);
    });
  }

  it("gives a key of two entries to neither", () => {
    for (const name of ["acme", 5]) {
      const { globex, problems } = ownersOf([GLOBEX, { ...GLOBEX, name }]);
      assert.equal(globex, undefined);
      assert.equal(problems.length, 2);
    }
  });

  it("requires keys and names none of them, whatever `tenants` is", () => {
    const odd = fc.oneof(
      fc.json().map((text) => JSON.parse(text) as unknown),
      fc.record({ apiKeys: fc.constantFrom(KEY, [KEY], { [KEY]: KEY }) }),
    );
    fc.assert(fc.property(odd, fc.array(odd), (value, entries) => {
      for (const tenants of [value, [...entries, ACME]]) {
        const problems: string[] = [];
        assert.notEqual(readTenants(tenants, problems), undefined);
        assert.ok(!problems.join().includes(KEY), problems.join());
      }
    }));
  });

  const route = { prefix: "/a/", service: "s", idempotent: true };
  const fields = {
    version: 1,
    host: "h",
    services: [],
    routes: [
      { ...route, name: "r1" },
      { ...route, name: "r2", public: true },
    ],
  };
  const text = configRow({
    ...fields,
    tenants: [{ name: "acme", keys: [KEY] }],
  });

  // Guards against a route that a value other than `true` opens, and against
  // keys that are required without `tenants`.
  it("reads `tenants` and `public` of a configuration", () => {
    for (const value of [text, text.replace('"public":true', '"public":1')]) {
      const { config } = readConfigRow(row(value))._unsafeUnwrap();
      assert.deepEqual(
        config.routes.map((found) => found.public),
        [undefined, value === text ? true : undefined],
      );
      assert.equal(config.tenants?.length, 1);
    }
    const { config, problems } = readConfigRow(row(configRow(fields)))
      ._unsafeUnwrap();
    assert.equal(config.tenants, undefined);
    assert.deepEqual(problems, []);
  });

  it("names no key if the row is not JSON", () => {
    // V8 quotes some characters around an unexpected token.
    const unquoted = text.replace(`"${KEY}`, KEY);
    const message = readConfigRow(row(unquoted))._unsafeUnwrapErr();
    assert.ok(!message.includes(KEY.slice(0, 4)), message);
  });
});

describe("RoutingSnapshot", () => {
  const fleet = FleetRig.manual();
  const credential = new RequestCredential(() => Buffer.from(KEY));

  // Regions of the route, of the tenant, and of the request. Guards against an
  // empty intersection that is taken for all regions.
  const regions: [string[], string[], string[] | undefined][] = [
    [[], [], []],
    [["a", "b"], [], ["a", "b"]],
    [[], ["b"], ["b"]],
    [["a", "b"], ["b", "c"], ["b"]],
    [["a"], ["b"], undefined],
  ];
  for (const [ofRoute, ofTenant, expected] of regions) {
    it(`intersects regions [${ofRoute.join()}] and [${ofTenant.join()}]`, () => {
      const route = fleet.route({ homeRegions: ofRoute });
      const tenants = readTenants([{ ...ACME, allowedRegions: ofTenant }], []);
      const snapshot = new RoutingSnapshot({
        routes: [route],
        unusableRoutes: [],
        tenants,
      });
      const found = snapshot.select(route.host, "/a/", credential);
      assert.deepEqual(
        found.kind === "route" ? found.route.homeRegions : undefined,
        expected,
      );
      assert.equal(found.kind, expected ? "route" : "no_region");
    });
  }

  it("replaces the priority of a route, also in the comparison", () => {
    const route = fleet.route({ priority: 5 });
    const config = {
      ...fleet.configure([route]),
      version: 2,
      tenants: readTenants([{ ...ACME, priority: 1 }, GLOBEX], []),
    };
    fleet.view.setConfig(config);
    const found = fleet.view.snapshot.select(route.host, "/a/", credential);
    assert.equal(found.kind === "route" && found.route.priority, 1);
    assert.ok(!fleet.view.isLessUrgent("s1", 1), "acme is the most urgent");
    assert.ok(fleet.view.isLessUrgent("s1", 5), "globex is less urgent");
  });
});
