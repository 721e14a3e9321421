import assert from "node:assert/strict";
import { test } from "node:test";
import { okAsync } from "neverthrow";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import { TakeoverNotice } from "../../src/regions/takeover_notice.ts";
import { MemberView } from "../../src/vms/member_view.ts";

const member = (vm: string, region: string) => ({
  schema: 1 as const,
  vm,
  incarnation: `${vm}-1`,
  region,
  failureDomain: `${region}-a`,
  peerUrl: `http://${vm}`,
  witnesses: [],
});

// Guards against routers that send renewals to the lost coordinator until their
// next poll.
test("a takeover is announced once to the other routers of the region", async () => {
  const members = new MemberView();
  for (const vm of ["vm1", "vm2", "vm3"]) {
    members.set(vm, member(vm, vm === "vm3" ? "costa" : "sierra"));
  }
  const called: string[] = [];
  const changed = new ChangeNotifier();
  let epoch: number | undefined;
  const notice = new TakeoverNotice({
    vm: "vm1",
    region: "sierra",
    lease: {
      held: () => epoch === undefined ? undefined : { epoch, acquiredAt: 0 },
      changed,
    },
    members,
    peers: {
      call: ({ peerUrl, params }) => {
        called.push(`${peerUrl} ${JSON.stringify(params)}`);
        return okAsync({}) as never;
      },
    },
    pollNow: () => called.push("poll"),
  });
  const end = new AbortController();
  const run = notice.run(end.signal);
  for (epoch of [undefined, 4, 4, undefined, 5]) {
    changed.notify();
    await new Promise((resolve) => setImmediate(resolve));
  }
  end.abort();
  await run;

  assert.deepEqual(called, [
    "poll",
    'http://vm2 {"epoch":4}',
    "poll",
    'http://vm2 {"epoch":5}',
  ]);
});
