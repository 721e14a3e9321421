import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, ResultAsync } from "neverthrow";
import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { Logger } from "../../src/base/logger.ts";
import type { CoordinatorRow } from "../../src/regions/coordinator_row.ts";
import { RenewalTask } from "../../src/regions/renewal_task.ts";
import type { RenewParams } from "../../src/regions/renew_params.ts";
import type { RenewGrant } from "../../src/regions/renew_grant.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import type { PeerClient } from "../../src/vms/peer_client.ts";
import type { StoreMode } from "../../src/vms/store_mode.ts";
import { ManualClock } from "../support/manual_clock.ts";

const TTL_MS = 2000;
const quiet = () => undefined;

/** A renewal task whose calls are answered by hand. */
class Bench {
  readonly clock = new ManualClock();
  readonly calls: { params: RenewParams; url: string }[] = [];
  readonly applied: { epoch: number; endsAt: number }[] = [];
  readonly reportChanged = new ChangeNotifier();
  readonly coordinatorChanged = new ChangeNotifier();
  readonly leaving = new AbortController();
  mode: StoreMode = "current";
  epoch = 1;
  tenures: RenewParams["tenures"] = [];
  left = false;
  #answer: ((result: RenewGrant | undefined) => void) | undefined;

  constructor() {
    const peers: PeerClient = {
      call: (call, signal) => {
        this.calls.push({
          params: call.params as RenewParams,
          url: call.peerUrl,
        });
        return new ResultAsync(
          new Promise<RenewGrant | undefined>((resolve) => {
            this.#answer = resolve;
            signal.addEventListener("abort", () => resolve(undefined));
            void this.clock.sleep(call.timeoutMs)
              .then(() => resolve(undefined));
          }).then((result) =>
            result === undefined
              ? err({ kind: "timeout" as const, message: "" })
              : ok(call.result.parse(result))
          ),
        );
      },
    };
    const task = new RenewalTask({
      vm: "x",
      incarnation: "x-1",
      region: "sierra",
      failureDomain: "east",
      clock: this.clock,
      logger: { debug: quiet, info: quiet, warn: quiet } as unknown as Logger,
      contact: { mode: () => this.mode, changed: new ChangeNotifier() },
      coordinators: {
        get: () => ({ revision: 1, row: this.#coordinator() }),
        changed: this.coordinatorChanged,
      },
      peers,
      dispatchers: {
        collect: () => ({
          tenures: this.tenures,
          released: [],
          ended: [],
          upstreams: [],
          hotKeys: [],
        }),
        apply: (grant, endsAt) => {
          this.applied.push({ epoch: grant.coordinatorEpoch, endsAt });
          this.tenures = grant.tenures;
        },
        reportChanged: () => this.reportChanged.next(),
      },
      limits: { collect: () => [], apply: quiet },
      assignments: new AssignmentView(),
      renewHoldMs: 300,
    });
    const signal = new AbortController().signal;
    void task.run({ leaving: this.leaving.signal, signal })
      .then(() => this.left = true);
  }

  async answer(changes: Partial<RenewGrant>): Promise<void> {
    this.#answer?.({
      kind: "granted",
      coordinatorEpoch: this.epoch,
      ttlMs: TTL_MS,
      tenures: [],
      endTenures: [],
      releases: [],
      shares: [],
      rows: [],
      ...changes,
    });
    await this.clock.advance(0);
  }

  #coordinator(): CoordinatorRow {
    return {
      schema: 1,
      region: "sierra",
      vm: "k",
      incarnation: "k-1",
      peerUrl: `coordinator-${this.epoch}`,
      epoch: this.epoch,
      beat: 1,
      witnesses: [],
    };
  }
}

// Guards against a lease that outlasts what the coordinator counts.
test("the lease is counted from the sending of the report", async () => {
  const bench = new Bench();
  await bench.clock.advance(250);
  await bench.answer({});
  assert.deepEqual(bench.applied, [{ epoch: 1, endsAt: TTL_MS }]);
  assert.equal(bench.calls[1]!.params.answeredSeq, 1);
  assert.equal(bench.calls[1]!.params.coordinatorEpoch, 1);
});

test("an answer of a former coordinator is not applied", async () => {
  const bench = new Bench();
  bench.epoch = 2;
  await bench.clock.advance(10);
  await bench.answer({ coordinatorEpoch: 2 });
  await bench.answer({ coordinatorEpoch: 1 });
  assert.deepEqual(bench.applied.map(({ epoch }) => epoch), [2]);
});

test("an answer that arrives when the router is cut off is not applied", async () => {
  const bench = new Bench();
  await bench.clock.advance(10);
  bench.mode = "cut_off";
  await bench.answer({});
  await bench.clock.advance(3000);
  assert.equal(bench.applied.length, 0);
  assert.equal(bench.calls.length, 1);
});

test("a changed report replaces a call that waits", async () => {
  const bench = new Bench();
  await bench.clock.advance(0);
  await bench.answer({});
  assert.equal(bench.calls.length, 2);
  bench.reportChanged.notify();
  await bench.clock.advance(40);
  assert.equal(bench.calls.length, 3);
});

// Guards against a router whose lease ends because its report never rests.
test("reports that change all the time do not keep answers away", async () => {
  const bench = new Bench();
  await bench.clock.advance(0);
  await bench.answer({});
  for (let step = 0; step < 60; step++) {
    bench.reportChanged.notify();
    await bench.clock.advance(10);
  }
  const longest = bench.calls.length;
  assert.ok(longest < 30, `${longest} calls`);
  const before = bench.applied.length;
  await bench.answer({});
  assert.equal(bench.applied.length, before + 1);
});

test("a new coordinator is asked at once", async () => {
  const bench = new Bench();
  await bench.clock.advance(10);
  bench.epoch = 2;
  bench.coordinatorChanged.notify();
  await bench.clock.advance(60);
  assert.equal(bench.calls.at(-1)?.url, "coordinator-2");
});

test("leaving ends when neither side names a tenure", async () => {
  const bench = new Bench();
  const tenures = [
    { service: "usage", upstream: "a", address: "10.0.0.1:80", epoch: 3 },
  ];
  await bench.clock.advance(0);
  await bench.answer({ tenures });
  bench.leaving.abort();
  await bench.clock.advance(40);
  assert.equal(bench.calls.at(-1)?.params.leaving, true);
  await bench.answer({ tenures });
  assert.equal(bench.left, false);
  await bench.answer({});
  assert.equal(bench.left, false);
  await bench.answer({});
  await bench.clock.advance(10);
  assert.equal(bench.left, true);
});
