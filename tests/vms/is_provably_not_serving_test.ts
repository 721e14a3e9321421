import assert from "node:assert/strict";
import { test } from "node:test";
import type { CatalogueStatus } from "../../src/vms/catalogue_status.ts";
import { isProvablyNotServing } from "../../src/vms/is_provably_not_serving.ts";

const member = {
  schema: 1 as const,
  vm: "vm0",
  incarnation: "a",
  region: "sierra",
  failureDomain: "d",
  peerUrl: "http://vm0",
  witnesses: ["vm1", "vm2"],
  witnessIncarnations: { vm1: "b", vm2: "c" },
};
const status = (
  vm: string,
  incarnation: string,
  version: number,
  mode: CatalogueStatus["mode"] = "current",
): CatalogueStatus => ({ vm, incarnation, version, mode });

const cases: {
  name: string;
  statuses: CatalogueStatus[];
  unconfirmedMs?: number;
  expected: boolean;
}[] = [
  { name: "no answers", statuses: [], expected: false },
  {
    name: "one witness confirmed",
    statuses: [status("vm1", "b", 7), status("vm2", "c", 6)],
    expected: true,
  },
  {
    name: "contact may have been 2.4 s ago",
    statuses: [status("vm1", "b", 7)],
    unconfirmedMs: 2400,
    expected: false,
  },
  {
    name: "the witness has an older version",
    statuses: [status("vm1", "b", 6)],
    expected: false,
  },
  {
    name: "another router is no witness",
    statuses: [status("vm3", "d", 7)],
    expected: false,
  },
  {
    name: "the witness restarted",
    statuses: [status("vm1", "b2", 7)],
    expected: false,
  },
  {
    name: "the member serves the older version with contact",
    statuses: [status("vm1", "b", 7), status("vm0", "a", 6)],
    expected: false,
  },
  {
    name: "the member says itself that it is cut off",
    statuses: [status("vm1", "b", 7), status("vm0", "a", 6, "cut_off")],
    expected: true,
  },
];
for (const { name, statuses, unconfirmedMs, expected } of cases) {
  test(`provably not serving: ${name}`, () => {
    assert.equal(
      isProvablyNotServing({
        member,
        version: 7,
        statuses,
        unconfirmedMs: unconfirmedMs ?? 2500,
      }),
      expected,
    );
  });
}
