import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OperatorRows } from "../../platform/operator_rows.ts";
import { RegistryRows } from "../../platform/registry_rows.ts";
import { chooseUpstream } from "../../src/direct/choose_upstream.ts";
import type { RowOrigin } from "../../src/rows/row_origin.ts";
import { FleetRig } from "../support/fleet_rig.ts";
import { silentLogger } from "../support/silent_logger.ts";

const ignored = { inc: () => undefined, set: () => undefined };
const metrics = { configProblems: ignored, invalidRows: ignored } as never;

function row(key: string, value: unknown) {
  const text = JSON.stringify(value);
  return { table: "t", key, value: Buffer.from(text), version: 7 };
}

function registryRow(state: "ready" | "draining") {
  return row("owner", {
    service: "s1",
    address: "10.1.0.1:8080",
    zone: "a1",
    version: "1.0",
    slots: 2,
    state,
    warmupRemaining: "0s",
    sequence: 1,
    born: 1,
  });
}

/** What a VM does with a request for a key whose owner leaves. */
async function chosen(
  leave: { by: "registry" | "evacuation"; read: "changes" | "snapshot" },
  times: { latenessMs: number; knownForMs: number },
): Promise<string> {
  const rig = FleetRig.manual();
  rig.configure([rig.route()], [{ keyed: true }]);
  rig.owners({ id: "owner" });
  const registry = new RegistryRows(rig.view, silentLogger(), metrics);
  const operators = new OperatorRows(rig.view, silentLogger(), metrics);
  const origin: RowOrigin = {
    source: "feed",
    latenessMs: times.latenessMs,
  };
  registry.onSnapshot([registryRow("ready")], origin);
  const [rows, changed] = leave.by === "registry"
    ? [registry, registryRow("draining")]
    : [operators, row("evacuate/a1", {})];
  if (leave.read === "snapshot") rows.onSnapshot([changed], origin);
  else rows.onChanges([{ kind: "written", row: changed }], origin);
  await rig.clock.advance(times.knownForMs);
  return chooseUpstream({
    view: rig.view,
    route: rig.route(),
    service: "s1",
    key: 77,
    tried: new Set(),
    location: { vm: "vm-1", failureDomain: "a1", region: "a" },
    workMs: 100,
    remainingMs: 1000,
    now: rig.clock.now(),
  }).kind;
}

// Guards against new work for an owner that leaves, later than 2.5 s after it
// was announced (DRAIN, EVAC): a VM that learns of it late, or only as it
// starts, must not count from the time at which it has read the row.
describe("an owner that leaves", () => {
  const cases = [
    { latenessMs: 600, knownForMs: 1100, expected: "send" },
    { latenessMs: 600, knownForMs: 1300, expected: "wait" },
    { latenessMs: 1400, knownForMs: 500, expected: "send" },
    { latenessMs: 1400, knownForMs: 1000, expected: "wait" },
    { latenessMs: 2300, knownForMs: 0, expected: "wait" },
    { latenessMs: Infinity, knownForMs: 0, expected: "wait" },
  ];
  for (const by of ["registry", "evacuation"] as const) {
    for (const read of ["changes", "snapshot"] as const) {
      for (const { latenessMs, knownForMs, expected } of cases) {
        it(`by ${by}, read with ${read} up to ${latenessMs} ms late: ${expected} after ${knownForMs} ms`, async () => {
          const times = { latenessMs, knownForMs };
          assert.equal(await chosen({ by, read }, times), expected);
        });
      }
    }
  }
});
