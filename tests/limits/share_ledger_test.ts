import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { allocateShares } from "../../src/limits/allocate_shares.ts";
import { ShareLedger } from "../../src/limits/share_ledger.ts";
import type { RenewGrant } from "../../src/regions/renew_grant.ts";
import type { RenewParams } from "../../src/regions/renew_params.ts";
import { regionReport } from "../support/region_report.ts";

const TTL_MS = 2000;
const REGION_LIMITS = { ratePerS: 100, concurrency: 10 };
const LIMITS_BY_ENTRY = new Map([["all", REGION_LIMITS]]);

test("shares add up to the region's limits and reach idle routers", () => {
  fc.assert(fc.property(
    fc.double({ min: 0.1, max: 1000, noNaN: true }),
    fc.nat(40),
    fc.array(fc.tuple(fc.nat(2000), fc.nat(60)), {
      minLength: 1,
      maxLength: 12,
    }),
    (ratePerS, concurrency, demands) => {
      const routers = demands.map(([demandPerS, demandConcurrency], index) => ({
        vm: `r${index}`,
        demandPerS,
        demandConcurrency,
      }));
      const shares = [
        ...allocateShares({ ratePerS, concurrency }, routers).values(),
      ];
      const rate = shares.reduce((sum, share) => sum + share.ratePerS, 0);
      const slots = shares.reduce((sum, share) => sum + share.concurrency, 0);
      assert.ok(Math.abs(rate - ratePerS) < 1e-6 * ratePerS, `rate ${rate}`);
      assert.equal(slots, concurrency);
      // An idle router gets a rate, so that its first request is not refused.
      const idle = ratePerS * 0.1 / routers.length;
      const rates = shares.map((share) => share.ratePerS);
      assert.ok(Math.min(...rates) >= idle * 0.999, "an idle rate is missing");
      if (concurrency >= routers.length) {
        const least = Math.min(...shares.map((share) => share.concurrency));
        assert.ok(least >= 1, "an idle slot is missing");
      }
    },
  ));
});

type Call = { to: number; sentAt: number; report: RenewParams };
type Answer = { grant: Pick<RenewGrant, "shares">; epoch: number; call: Call };

/** A model of a router that reports to the share ledger. */
class ModelRouter {
  call: Call | undefined;
  answer: Answer | undefined;
  demand = 0;
  #seq = 0;
  #answeredSeq = 0;
  #epoch = 0;
  #share = { ratePerS: 0, concurrency: 0 };
  #endsAt = -Infinity;
  readonly #vm: string;

  constructor(vm: string) {
    this.#vm = vm;
  }

  held(now: number): { ratePerS: number; concurrency: number } {
    return now < this.#endsAt ? this.#share : { ratePerS: 0, concurrency: 0 };
  }

  send(now: number, to: number): void {
    this.#seq += 1;
    const held = this.held(now);
    const omitsEntry = this.demand === 0 && to === this.#epoch;
    const report = regionReport(this.#vm, {
      seq: this.#seq,
      answeredSeq: this.#answeredSeq,
      coordinatorEpoch: this.#epoch,
      limits: omitsEntry ? [] : [{
        entry: "all",
        demandPerS: this.demand * 10,
        demandConcurrency: this.demand,
        heldRatePerS: held.ratePerS,
        heldConcurrency: held.concurrency,
      }],
    });
    this.call = { to, sentAt: now, report };
    this.answer = undefined;
  }

  receive(now: number): void {
    const { answer } = this;
    if (answer === undefined || answer.call !== this.call) return;
    this.call = undefined;
    this.answer = undefined;
    const endsAt = answer.call.sentAt + TTL_MS;
    if (now >= endsAt || answer.epoch < this.#epoch) return;
    this.#epoch = answer.epoch;
    this.#answeredSeq = answer.call.report.seq;
    this.#share = answer.grant.shares.find((s) => s.entry === "all") ??
      { ratePerS: 0, concurrency: 0 };
    this.#endsAt = endsAt;
  }
}

class ModelRegion {
  now = 0;
  epoch = 1;
  ledger = new ShareLedger({ epoch: 1, acquiredAt: 0, ttlMs: TTL_MS });
  readonly routers: ModelRouter[];
  readonly #abandonedCalls: Call[] = [];
  readonly #handled = new Map<string, number>();

  constructor(count: number) {
    this.routers = Array.from(
      { length: count },
      (_, index) => new ModelRouter(`r${index}`),
    );
  }

  send(router: ModelRouter): void {
    if (router.call !== undefined) this.#abandonedCalls.push(router.call);
    router.send(this.now, this.epoch);
  }

  handle(call: Call | undefined): Answer | undefined {
    if (call?.to !== this.epoch) return undefined;
    const { report } = call;
    // The coordinator's sessions ignore reports that arrive out of order.
    if (report.seq <= (this.#handled.get(report.vm) ?? 0)) return undefined;
    this.#handled.set(report.vm, report.seq);
    this.ledger.accept(report, this.now);
    const shares = this.ledger.grant(report, LIMITS_BY_ENTRY, this.now);
    return { grant: { shares }, epoch: this.epoch, call };
  }

  /** Delivers a report whose call was abandoned; its answer is lost. */
  handleAbandonedCall(): void {
    this.handle(this.#abandonedCalls.shift());
  }

  renew(router: ModelRouter): void {
    this.send(router);
    router.answer = this.handle(router.call);
    router.receive(this.now);
  }

  replaceCoordinator(): void {
    this.epoch += 1;
    this.ledger = new ShareLedger({
      epoch: this.epoch,
      acquiredAt: this.now,
      ttlMs: TTL_MS,
    });
  }

  check(): void {
    const held = this.routers.map((router) => router.held(this.now));
    const rate = held.reduce((sum, share) => sum + share.ratePerS, 0);
    const slots = held.reduce((sum, share) => sum + share.concurrency, 0);
    assert.ok(
      rate <= REGION_LIMITS.ratePerS + 1e-6,
      `rate ${rate} at ${this.now}`,
    );
    assert.ok(
      slots <= REGION_LIMITS.concurrency,
      `${slots} slots at ${this.now}`,
    );
  }
}

/** Fails if the held shares exceed the region's limits in a random history. */
function runHistory(steps: readonly (readonly [number, number, number])[]) {
  const region = new ModelRegion(5);
  for (const [kind, index, value] of steps) {
    const router = region.routers[index]!;
    if (kind <= 2) region.send(router);
    else if (kind <= 5) {
      router.answer ??= region.handle(router.call);
    } else if (kind <= 8) router.receive(region.now);
    else if (kind === 9) router.answer = undefined;
    else if (kind === 10) router.demand = value % 20;
    else if (kind === 11) region.handleAbandonedCall();
    else if (kind === 12 && value > 150) region.replaceCoordinator();
    else if (kind <= 15) region.renew(router);
    region.now += value;
    region.check();
  }
}

const histories = fc.array(
  fc.tuple(fc.nat(17), fc.nat(4), fc.nat(200)),
  { minLength: 50, maxLength: 400 },
);

test("held shares stay within the limits under message loss and takeovers", () => {
  fc.assert(fc.property(histories, runHistory), { numRuns: 400 });
});

// Guards against a model in which shares above the limits cannot occur, so that
// the test above would detect nothing.
test("held shares exceed the limits if a new coordinator does not wait", (t) => {
  t.mock.method(
    ModelRegion.prototype,
    "replaceCoordinator",
    function (this: ModelRegion) {
      this.epoch += 1;
      this.ledger = new ShareLedger({
        epoch: this.epoch,
        acquiredAt: this.now - TTL_MS,
        ttlMs: TTL_MS,
      });
    } as () => void,
  );
  assert.throws(() =>
    fc.assert(fc.property(histories, runHistory), { numRuns: 400, seed: 1 })
  );
});

test("unused shares move to a busy router within two renewals", () => {
  const region = new ModelRegion(3);
  const [busy, other, idle] = region.routers as [
    ModelRouter,
    ModelRouter,
    ModelRouter,
  ];
  const round = () => {
    for (const router of region.routers) region.renew(router);
    region.now += 300;
    region.check();
  };
  region.now = TTL_MS;
  busy.demand = 50;
  for (let count = 0; count < 4; count++) round();
  const rateOf = (router: ModelRouter) =>
    Math.round(router.held(region.now).ratePerS);
  assert.equal(rateOf(busy), 93);
  assert.equal(busy.held(region.now).concurrency, 8);
  assert.equal(idle.held(region.now).concurrency, 1);
  busy.demand = 0;
  other.demand = 50;
  region.renew(other);
  region.now += 100;
  // Once the demand is reported, one renewal of the router that holds the share
  // reduces it, and the next one reports that the reduction is applied.
  round();
  round();
  region.renew(other);
  assert.equal(rateOf(other), 93);
  assert.equal(other.held(region.now).concurrency, 8);
  assert.equal(rateOf(busy), 3);
  assert.equal(busy.held(region.now).concurrency, 1);
});

test("a new coordinator grants only the reported shares for one TTL", () => {
  const region = new ModelRegion(2);
  const [a, b] = region.routers as [ModelRouter, ModelRouter];
  region.now = TTL_MS;
  a.demand = 4;
  for (let count = 0; count < 3; count++) {
    region.renew(a);
    region.renew(b);
    region.now += 300;
  }
  const before = a.held(region.now);
  region.replaceCoordinator();
  a.demand = 50;
  region.renew(a);
  assert.deepEqual(a.held(region.now), before);
  region.now += TTL_MS;
  region.renew(a);
  assert.notDeepEqual(a.held(region.now), before);
});
