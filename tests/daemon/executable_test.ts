import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import {
  copyFileSync,
  existsSync,
  mkdtempSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { test } from "node:test";

// Only the release build creates the single executable. Without it, the bundle
// is tested.
const BUILT = existsSync("dist/fescuerun")
  ? "dist/fescuerun"
  : "dist/fescuerun.cjs";

const SETTINGS = `schema: 1
vm: entry-1
region: sierra
failureDomain: sierra-a
listen: {callers: 10.0.0.4:8080, peers: 10.0.0.4:8081}
platform:
  tableService: http://10.0.0.2:9000
  objectStore: http://10.0.0.2:9001
  vmList: http://10.0.0.2:9002
peers: {credentialFile: /run/peer}
`;

test("the executable needs no other files", (t) => {
  // Guards against a build that needs files next to it, such as libraries.
  const dir = mkdtempSync(join(tmpdir(), "fescuerun-alone-"));
  t.after(() => rmSync(dir, { recursive: true }));
  const file = join(dir, basename(BUILT));
  copyFileSync(BUILT, file);
  const run = (...args: string[]) => {
    const [command, first] = file.endsWith(".cjs")
      ? [process.execPath, [file]]
      : [file, []];
    return execFileSync(command, [...first, ...args], {
      cwd: dir,
      env: {},
      encoding: "utf8",
    });
  };
  assert.match(run("--version"), /^\d+\.\d+\.\d+\n$/);
  writeFileSync(join(dir, "settings.yaml"), SETTINGS);
  assert.match(run("config", "check", "settings.yaml"), /is valid/);
});
