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
const ignore = () => undefined;

/** Runs a renewal task whose calls are answered by the test. */
class RenewalTaskHarness {
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
      logger: {
        debug: ignore,
        info: ignore,
        warn: ignore,
      } as unknown as Logger,
      contact: { mode: () => this.mode, changed: new ChangeNotifier() },
      coordinators: {
        get: () => ({ revision: 1, row: this.#coordinator() }),
        changed: this.coordinatorChanged,
      },
      peers,
      dispatchers: {
        collectReport: () => ({
          tenures: this.tenures,
          released: [],
          ended: [],
          upstreams: [],
          hotKeys: [],
        }),
        applyGrant: (grant, endsAt) => {
          this.applied.push({ epoch: grant.coordinatorEpoch, endsAt });
          this.tenures = grant.tenures;
        },
        reportChanged: () => this.reportChanged.next(),
      },
      limits: { collect: () => [], apply: ignore },
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

// Guards against a lease that the router considers valid after the coordinator
// considers it expired.
test("the TTL of the lease starts when the report is sent", async () => {
  const harness = new RenewalTaskHarness();
  await harness.clock.advance(250);
  await harness.answer({});
  assert.deepEqual(harness.applied, [{ epoch: 1, endsAt: TTL_MS }]);
  assert.equal(harness.calls[1]!.params.answeredSeq, 1);
  assert.equal(harness.calls[1]!.params.coordinatorEpoch, 1);
});

test("an answer of a former coordinator is not applied", async () => {
  const harness = new RenewalTaskHarness();
  harness.epoch = 2;
  await harness.clock.advance(10);
  await harness.answer({ coordinatorEpoch: 2 });
  await harness.answer({ coordinatorEpoch: 1 });
  assert.deepEqual(harness.applied.map(({ epoch }) => epoch), [2]);
});

test("an answer that arrives when the router is cut off is not applied", async () => {
  const harness = new RenewalTaskHarness();
  await harness.clock.advance(10);
  harness.mode = "cut_off";
  await harness.answer({});
  await harness.clock.advance(3000);
  assert.equal(harness.applied.length, 0);
  assert.equal(harness.calls.length, 1);
});

test("a changed report replaces a call that waits for its answer", async () => {
  const harness = new RenewalTaskHarness();
  await harness.clock.advance(0);
  await harness.answer({});
  assert.equal(harness.calls.length, 2);
  harness.reportChanged.notify();
  await harness.clock.advance(40);
  assert.equal(harness.calls.length, 3);
});

// Guards against a router whose lease expires because its report changes all
// the time and each change aborts the call.
test("a report that changes all the time does not prevent answers", async () => {
  const harness = new RenewalTaskHarness();
  await harness.clock.advance(0);
  await harness.answer({});
  for (let step = 0; step < 60; step++) {
    harness.reportChanged.notify();
    await harness.clock.advance(10);
  }
  const callCount = harness.calls.length;
  assert.ok(callCount < 30, `${callCount} calls`);
  const before = harness.applied.length;
  await harness.answer({});
  assert.equal(harness.applied.length, before + 1);
});

test("a router renews with a new coordinator within 60 ms", async () => {
  const harness = new RenewalTaskHarness();
  await harness.clock.advance(10);
  harness.epoch = 2;
  harness.coordinatorChanged.notify();
  await harness.clock.advance(60);
  assert.equal(harness.calls.at(-1)?.url, "coordinator-2");
});

test("a leaving router's renewals end when neither report nor answer lists a dispatch term", async () => {
  const harness = new RenewalTaskHarness();
  const tenures = [
    { service: "usage", upstream: "a", address: "10.0.0.1:80", epoch: 3 },
  ];
  await harness.clock.advance(0);
  await harness.answer({ tenures });
  harness.leaving.abort();
  await harness.clock.advance(40);
  assert.equal(harness.calls.at(-1)?.params.leaving, true);
  await harness.answer({ tenures });
  assert.equal(harness.left, false);
  await harness.answer({});
  assert.equal(harness.left, false);
  await harness.answer({});
  await harness.clock.advance(10);
  assert.equal(harness.left, true);
});
