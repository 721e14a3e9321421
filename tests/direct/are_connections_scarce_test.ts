import assert from "node:assert/strict";
import { test } from "node:test";
import { areConnectionsScarce } from "../../src/direct/are_connections_scarce.ts";

for (
  const { maxConnections, vms, scarce } of [
    { maxConnections: 110, vms: 80, scarce: true },
    { maxConnections: 600, vms: 90, scarce: false },
    { maxConnections: 51, vms: 12, scarce: false },
    { maxConnections: 2, vms: 1, scarce: false },
    { maxConnections: 1, vms: 1, scarce: true },
  ]
) {
  test(`${maxConnections} connections for ${vms} VMs are ${scarce ? "" : "not "}scarce`, () => {
    assert.equal(areConnectionsScarce({ maxConnections }, vms), scarce);
  });
}
