import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";

/** Wire names of the platform that nothing else in the project is called. */
const OUTER_NAMES = [
  "FESCUERUN_NODE_FILE",
  "rowVersion",
  "rows-tx",
  "rows-get",
  "rows-feed",
  "blob-put",
  "clientListen",
  "internalPortRange",
  "gracePeriod",
  "retryBudget" + "Ratio",
  "quota" + "Window",
  "trafficSplit",
  "targetLatency",
  "maxAttempts",
  "allowedRegions",
  "healthCheckPath",
  "warmupRemaining",
  "hold_time",
  "/api/ready",
  "/api/grant",
  "/api/release",
  "fescuerun-request-deadline",
  "fescuerun-response-signature",
  "fescuerun-expected-instance",
  "fescuerun-server-load",
  "fescuerun-not-executed",
  "fescuerun-shard-key",
  "fescuerun-handover",
  "apiKeys",
  "fescuerun-credential",
  "fescuerun-tenant-id",
];

function sourceFiles(dir: string): string[] {
  return readdirSync(dir, { withFileTypes: true }).flatMap((item) => {
    const path = join(dir, item.name);
    if (item.isDirectory()) return sourceFiles(path);
    return item.name.endsWith(".ts") ? [path] : [];
  });
}

describe("outer names of the platform", () => {
  it("occur only in platform/, not in src/ or dev/", () => {
    const found = [...sourceFiles("src"), ...sourceFiles("dev")].flatMap(
      (file) => {
        const text = readFileSync(file, "utf8").toLowerCase();
        return OUTER_NAMES.filter((name) => text.includes(name.toLowerCase()))
          .map((name) => `${file}: ${name}`);
      },
    );
    assert.deepEqual(found, []);
  });
});
