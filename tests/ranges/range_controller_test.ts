import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { errAsync, okAsync } from "neverthrow";
import { DirectMetrics } from "../../src/direct/direct_metrics.ts";
import { KeyReport } from "../../src/ranges/key_report.ts";
import { RangeController } from "../../src/ranges/range_controller.ts";
import { StepDownRequest } from "../../src/ranges/step_down_request.ts";
import { RangeRig } from "../support/range_rig.ts";
import { silentLogger } from "../support/silent_logger.ts";

type Peers = ConstructorParameters<typeof RangeController>[0]["peers"];

/** Makes vm-2 the successor of vm-1, which may still send orders. */
async function createSuccessor(peers: Peers) {
  const rig = new RangeRig();
  const first = rig.addCandidate("vm-1", []);
  void first.lease.run();
  await rig.advance(500);
  first.end.abort();
  const { lease, view, end } = rig.addCandidate("vm-2", []);
  void lease.run();
  for (let attempt = 0; attempt < 10 && !lease.held; attempt++) {
    lease.onLeaderUnreachable();
    await rig.advance(400);
  }
  assert.deepEqual(lease.activeEarlierLeaders.map(({ vm }) => vm), ["vm-1"]);
  const controller = new RangeController({
    store: rig.store,
    table: "ranges",
    self: {
      vm: "vm-2",
      incarnation: "vm-2-1",
      region: "a",
      peerUrl: "http://vm-2",
      cores: undefined,
    },
    view,
    lease,
    grants: rig.upstreams.connectionsOf("vm-2"),
    peers,
    relay: { setRelay: () => undefined, canRelay: true },
    workMs: () => 100,
    clock: rig.clock,
    logger: silentLogger(),
    metrics: new DirectMetrics(),
    holdMs: 4000,
    signal: end.signal,
  });
  const report = async (vm: string, incarnation: string) => {
    const handler = controller.handlers.find(({ method }) =>
      method === KeyReport.method
    );
    await handler?.handle(
      { vm, incarnation, counts: {}, speeds: {} },
      end.signal,
    );
  };
  return { rig, lease, end, controller, report };
}

/** Runs a VM that has read which VM leads, and records the relays it is given. */
async function createFollowerOf(peers: Peers) {
  const rig = new RangeRig();
  const leader = rig.addCandidate("vm-1", []);
  void leader.lease.run();
  await rig.advance(500);
  const { lease, view, end } = rig.addCandidate("vm-2", []);
  void lease.run();
  await rig.advance(500);
  assert.notEqual(lease.leaderUrl, undefined);
  const relays: (string | undefined)[] = [];
  const controller = new RangeController({
    store: rig.store,
    table: "ranges",
    self: {
      vm: "vm-2",
      incarnation: "vm-2-1",
      region: "a",
      peerUrl: "http://vm-2",
      cores: undefined,
    },
    view,
    lease,
    grants: rig.upstreams.connectionsOf("vm-2"),
    peers,
    relay: { setRelay: (url) => relays.push(url), canRelay: true },
    workMs: () => 100,
    clock: rig.clock,
    logger: silentLogger(),
    metrics: new DirectMetrics(),
    holdMs: 4000,
    signal: end.signal,
  });
  void controller.run();
  return {
    rig,
    relays,
    end: () => [leader.end, end].forEach((e) => e.abort()),
  };
}

describe("RangeController", () => {
  // Guards against a call to the store by every VM for every change while there
  // is no leader, although the relay is alive.
  it("keeps its relay while the leader does not answer", async () => {
    let reports = 0;
    const { rig, relays, end } = await createFollowerOf({
      call: ({ result }) =>
        reports++ === 0
          ? okAsync(
            result.parse({ keeper: true, vms: 2, relayUrl: "http://vm-3" }),
          )
          : errAsync({ kind: "unreachable", message: "" }),
    });
    await rig.advance(4000);
    assert.ok(reports > 2);
    assert.deepEqual(new Set(relays), new Set(["http://vm-3"]));
    end();
  });

  // Guards against two owners: a report that was sent by a process before the
  // earlier leader's, and arrives late, must not end the wait for its orders.
  it("waits for an earlier leader although a report names another process of its VM", async () => {
    const { rig, lease, end, report } = await createSuccessor({
      call: () => errAsync({ kind: "unreachable", message: "" }),
    });
    await report("vm-1", "vm-1-0");
    await rig.advance(2000);
    assert.equal(lease.activeEarlierLeaders.length, 1);
    assert.ok(lease.predecessorOrdersEndAt > rig.clock.now() + 5000);
    end.abort();
  });

  it("stops waiting for an earlier leader once its address answers that it does not lead", async () => {
    const asked: string[] = [];
    const { rig, lease, end, controller } = await createSuccessor({
      call: ({ method, peerUrl, result }) => {
        if (method === StepDownRequest.method) asked.push(peerUrl);
        return okAsync(result.parse({ yielded: true }));
      },
    });
    void controller.run();
    await rig.advance(400);
    assert.deepEqual(new Set(asked), new Set(["http://vm-1"]));
    assert.equal(lease.activeEarlierLeaders.length, 0);
    assert.ok(lease.predecessorOrdersEndAt <= rig.clock.now());
    end.abort();
  });
});
