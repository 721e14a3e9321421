import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseWitnesses } from "../../src/vms/choose_witnesses.ts";

function member(vm: string, failureDomain: string, region = "sierra") {
  return {
    schema: 1 as const,
    vm,
    incarnation: `${vm}-1`,
    region,
    failureDomain,
    peerUrl: `http://${vm}`,
    witnesses: [],
  };
}
const self = member("vm0", "d0");
const domainMembers = (count: number, domain: string) =>
  Array.from({ length: count }, (_, i) => member(`${domain}-vm${i}`, domain));

const cases = [
  { name: "none without another router", members: [self], expected: {} },
  {
    name: "none from other regions",
    members: [self, member("vm1", "d1", "costa")],
    expected: {},
  },
  {
    name: "five, spread across domains, starting with other domains",
    members: [self, ...domainMembers(6, "d0"), ...domainMembers(6, "d1")],
    expected: { d1: 3, d0: 2 },
  },
  {
    name: "a small domain's places are filled from the other domains",
    members: [self, ...domainMembers(6, "d0"), ...domainMembers(1, "d1")],
    expected: { d1: 1, d0: 4 },
  },
];
for (const { name, members, expected } of cases) {
  test(`witnesses: ${name}`, () => {
    const chosen = chooseWitnesses(self, members);
    const counts: Record<string, number> = {};
    for (const [vm, incarnation] of Object.entries(chosen)) {
      assert.equal(incarnation, `${vm}-1`);
      const { failureDomain } = members.find((row) => row.vm === vm)!;
      counts[failureDomain] = (counts[failureDomain] ?? 0) + 1;
    }
    assert.deepEqual(counts, expected);
  });
}

test("the choice of witnesses does not depend on the order of members", () => {
  const members = [self, ...domainMembers(6, "d0"), ...domainMembers(6, "d1")];
  assert.deepEqual(
    Object.keys(chooseWitnesses(self, members)).sort(),
    Object.keys(chooseWitnesses(self, members.toReversed())).sort(),
  );
});
