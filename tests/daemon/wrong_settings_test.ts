import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { freePorts } from "../../dev/deployment/free_ports.ts";

// Module that prints a line whenever the process opens a port.
const REPORT_PORTS = `data:text/javascript,import net from "node:net";
const { listen } = net.Server.prototype;
net.Server.prototype.listen = function (...args) {
  this.once("listening", () => console.error("PORT OPENED"));
  return listen.apply(this, args);
};`;

// Kills a router that runs although its settings are wrong.
const KILL_AFTER_TIMEOUT = { timeout: 60_000, killSignal: "SIGKILL" } as const;

let dir = "";
let portHolder = createServer();
let settings = "";

before(async () => {
  dir = mkdtempSync(join(tmpdir(), "fescuerun-settings-"));
  await new Promise<void>((resolve) => {
    portHolder = portHolder.listen(0, "127.0.0.1", resolve);
  });
  const [callers, peers, admin] = await freePorts(3);
  writeFileSync(join(dir, "credential"), "secret\n");
  writeFileSync(join(dir, "empty"), "\n");
  settings = `schema: 1
vm: entry-1
region: sierra
failureDomain: sierra-a
listen:
  callers: 127.0.0.1:${callers}
  peers: 127.0.0.1:${peers}
  admin: 127.0.0.1:${admin}
platform:
  tableService: http://127.0.0.1:1
  objectStore: http://127.0.0.1:1
  vmList: http://127.0.0.1:1
peers:
  credentialFile: ${join(dir, "credential")}
`;
});
after(() => {
  portHolder.close();
  rmSync(dir, { recursive: true });
});

function addressInUse(): string {
  const address = portHolder.address();
  assert.ok(typeof address === "object" && address !== null);
  return `127.0.0.1:${address.port}`;
}

const LISTEN = /admin: \S+/;
const CREDENTIAL = /credentialFile: .*/;
// The pattern that is replaced in correct settings, its replacement, and the
// expected error: place of the problem, value found, and values allowed.
const WRONG_SETTINGS: [RegExp | string, string | (() => string), RegExp][] = [
  [/^/, "log: [\n", /: found .*allowed is one valid YAML/],
  ["schema: 1", "schema: 2", /:1: schema: found 2, newer .*allowed is 1/],
  ["vm: entry-1\n", "", /: vm: found nothing, allowed is a string/],
  ["sierra\n", "Sierra A\n", /:3: region: found "Sierra A", allowed is 1 to/],
  ["vm:", "node:", /: node: found an unknown key, allowed is one of "schema"/],
  [LISTEN, "admin: 80", /:8: listen.admin: found 80, allowed is a string/],
  [LISTEN, "admin: a:80", /listen.admin: found "a:80", allowed is IP:PORT/],
  [
    LISTEN,
    "admin: 1.2.3.4:65536",
    /listen.admin: found .*, allowed is IP:PORT/,
  ],
  ["http://127.0.0.1:1", "ftp://a", /platform.tableService: found "ftp:.* URL/],
  [/$/, "log: {level: loud}\n", /log.level: found "loud", .*one of "debug"/],
  [/$/, "timing: {storePollMs: 0}\n", /storePollMs: found 0, .* above 0/],
  [/$/, "requests: {held: many}\n", /held: found "many", allowed is a number/],
  [
    CREDENTIAL,
    () => `credentialFile: ${join(dir, "none")}`,
    /peers.credentialFile: found .*none, no such file, allowed is a readable/,
  ],
  [
    CREDENTIAL,
    () => `credentialFile: ${join(dir, "empty")}`,
    /peers.credentialFile: found .*empty, an empty file, allowed is a readable/,
  ],
  [
    LISTEN,
    () => `admin: ${addressInUse()}`,
    /listen.admin: found \S+, which is in use, allowed is a free address/,
  ],
];

for (const [pattern, replacement, expected] of WRONG_SETTINGS) {
  // Guards against a router that runs, or opens a port, with settings that the
  // operator did not intend, and errors that do not say what to correct.
  test(`wrong settings: ${String(expected)}`, async () => {
    const file = join(dir, "settings.yaml");
    const text = settings.replace(
      pattern,
      typeof replacement === "string" ? replacement : replacement(),
    );
    writeFileSync(file, text);
    const args = [
      "--import",
      REPORT_PORTS,
      "dist/fescuerun.cjs",
      "serve",
      "--config",
      file,
    ];
    const { code, out } = await new Promise<{ code: unknown; out: string }>(
      (resolve) => {
        const child = execFile(
          process.execPath,
          args,
          KILL_AFTER_TIMEOUT,
          (_, stdout, stderr) =>
            resolve({ code: child.exitCode, out: stdout + stderr }),
        );
      },
    );
    assert.ok(out.startsWith(file), out);
    assert.match(out, expected);
    assert.equal(code, 2);
    assert.doesNotMatch(out, /PORT OPENED/);
  });
}
