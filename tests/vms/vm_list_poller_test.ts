import assert from "node:assert/strict";
import { test } from "node:test";
import { errAsync, okAsync } from "neverthrow";
import type { ListedVm } from "../../src/contracts/listed_vm.ts";
import { VmListPoller } from "../../src/vms/vm_list_poller.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { silentLogger } from "../support/silent_logger.ts";

const vm = (id: string): ListedVm => ({
  id,
  kind: "entry",
  address: "10.0.0.1:80",
  region: "sierra",
  failureDomain: "d",
  state: "live",
});

function start() {
  const clock = new ManualClock();
  const state = { vms: [vm("vm0"), vm("vm1")], readable: true };
  const poller = new VmListPoller({
    list: {
      read: () =>
        state.readable
          ? okAsync([...state.vms])
          : errAsync({ kind: "unavailable" as const, message: "down" }),
    },
    clock,
    logger: silentLogger(),
    pollMs: 1000,
  });
  void poller.run(new AbortController().signal);
  return { clock, state, poller };
}

test("the last list is kept while the list cannot be read", async () => {
  const { clock, state, poller } = start();
  await clock.advance(10);
  state.readable = false;
  state.vms = [];
  await clock.advance(60_000);
  assert.deepEqual(poller.vms.map(({ id }) => id), ["vm0", "vm1"]);
  assert.equal(poller.lastSentAt, 0);
  assert.equal(poller.absentSince("vm1"), undefined);
});

test("notifies only when the list changes", async () => {
  const { clock, state, poller } = start();
  await clock.advance(10);
  let changes = 0;
  const count = () => {
    changes += 1;
    void poller.changed.next().then(count);
  };
  void poller.changed.next().then(count);
  await clock.advance(5000);
  assert.equal(changes, 0);
  state.vms = [vm("vm0"), { ...vm("vm1"), state: "leaving" }];
  await clock.advance(5000);
  assert.equal(changes, 1);
});

test("a VM no longer listed is absent; one not listed yet is not", async () => {
  const { clock, state, poller } = start();
  await clock.advance(10);
  state.vms = [vm("vm0")];
  await clock.advance(2500);
  assert.equal(poller.absentSince("vm1"), 1000);
  assert.equal(poller.absentSince("vm0"), undefined);
  // The list lags, so a router may register before its VM is listed.
  assert.equal(poller.absentSince("vm2"), undefined);
  await clock.advance(20_000);
  assert.equal(poller.absentSince("vm2"), undefined);
  state.vms = [vm("vm0"), vm("vm1"), vm("vm2")];
  await clock.advance(20_000);
  assert.equal(poller.absentSince("vm1"), undefined);
  assert.equal(poller.absentSince("vm2"), undefined);
});

test("a VM that was never listed counts as absent after 30 s", async () => {
  const { clock, poller } = start();
  await clock.advance(10);
  assert.equal(poller.absentSince("vm9"), undefined);
  await clock.advance(32_000);
  assert.equal(poller.absentSince("vm9"), 10);
});
