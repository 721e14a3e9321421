import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { configRow } from "../../platform/standins/config_row.ts";
import { createProgram } from "../../src/cli/program.ts";

type Fields = Parameters<typeof configRow>[0];

const SECRET = "a-key-that-must-not-be-shown";
const ROUTE = { name: "r1", prefix: "/a/", service: "s1", idempotent: true };
const FIELDS: Fields = {
  version: 5,
  host: "h.example",
  services: [{ name: "s1", keyed: false, maxConnections: 100 }],
  routes: [ROUTE],
};

/** Runs the command on configurations, the second of which is in force. */
async function run(next: string, inForce?: string) {
  const dir = mkdtempSync(join(tmpdir(), "check-"));
  const lines: string[] = [];
  const cli = {
    out: (line: string) => void lines.push(line),
    err: (line: string) => void lines.push(line),
    env: {},
    exitCode: 0,
  };
  const args = [next, inForce].flatMap((text, index) => {
    if (text === undefined) return [];
    const path = join(dir, `${index}.json`);
    writeFileSync(path, text);
    return index === 0 ? [path] : ["--in-force", path];
  });
  try {
    await createProgram(cli).parseAsync(["check-configuration", ...args], {
      from: "user",
    });
  } finally {
    rmSync(dir, { recursive: true });
  }
  return { text: lines.join("\n"), exitCode: cli.exitCode };
}

describe("check-configuration", () => {
  it("finds nothing in a configuration without faults", async () => {
    const { text, exitCode } = await run(configRow(FIELDS));
    assert.match(text, /0 errors, 0 warnings$/);
    assert.equal(exitCode, 0);
  });

  // Each case guards against a fault that routers accept without a refusal of
  // the configuration, so that operators see it only in their callers' requests.
  const cases: [string, Partial<Fields>, RegExp][] = [
    [
      "a route with the host and prefix of another",
      { routes: [ROUTE, { ...ROUTE, name: "r2" }] },
      /error: route h\.example\/a\/ \(r2\): never matches: r1/,
    ],
    [
      "a route to a service that is not configured",
      { routes: [ROUTE, { ...ROUTE, prefix: "/b/", service: "s9" }] },
      /error: .*service s9 is not configured/,
    ],
    [
      "a prefix that cannot be used",
      { routes: [ROUTE, { ...ROUTE, name: "r2", prefix: "b" }] },
      /error: .*route 1 of host h\.example/,
    ],
    [
      "a service that gets no requests",
      {
        services: [...FIELDS.services, { ...FIELDS.services[0]!, name: "s2" }],
      },
      /warning: service s2: no route/,
    ],
    [
      "a tenant without keys",
      { tenants: [{ name: "acme", keys: [] }] },
      /error: tenant acme: it has no usable key/,
    ],
    [
      "a burst without a rate",
      { tenants: [{ name: "acme", keys: [SECRET], burst: 5 }] },
      /warning: tenant acme: a burst without a rate/,
    ],
    [
      "tenants though all routes are public",
      {
        routes: [{ ...ROUTE, public: true }],
        tenants: [{ name: "acme", keys: [SECRET] }],
      },
      /warning: tenants: all routes are public/,
    ],
  ];
  for (const [name, fields, expected] of cases) {
    it(`finds ${name}`, async () => {
      const { text } = await run(configRow({ ...FIELDS, ...fields }));
      assert.match(text, expected);
    });
  }

  it("lists what differs from the version in force, without API keys", async () => {
    const before = { ...FIELDS, tenants: [{ name: "acme", keys: ["old"] }] };
    const { text, exitCode } = await run(
      configRow({
        ...before,
        version: 6,
        services: [{ name: "s1", keyed: true, maxConnections: 80 }],
        routes: [ROUTE, { ...ROUTE, name: "r2", prefix: "/b/" }],
        tenants: [{ name: "acme", keys: ["old", SECRET], ratePerS: 5 }],
      }),
      configRow(before),
    );
    for (
      const line of [
        "change: route h.example/b/: added",
        "change: service s1: maxConnections 100 -> 80",
        "change: service s1: keyed false -> true",
        "change: tenant acme: keyDigests: 1 added, 0 removed",
        "change: tenant acme: ratePerS 0 -> 5",
      ]
    ) assert.ok(text.includes(line), `${line} in ${text}`);
    assert.ok(!text.includes(SECRET), "shows a key");
    assert.equal(exitCode, 0);
  });

  // Routers ignore a configuration that is not newer, without a sign of it.
  it("finds a version that is not above the one in force", async () => {
    const { text, exitCode } = await run(configRow(FIELDS), configRow(FIELDS));
    assert.match(text, /error: .*version 5 is not above 5/);
    assert.equal(exitCode, 2);
  });
});
