import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { planShards } from "../../src/shards/plan_shards.ts";
import { WarmUpTracker } from "../../src/shards/warm_up_tracker.ts";
import type { Bench } from "./bench.ts";
import type { BenchReport } from "./bench_report.ts";
import { emptyReport } from "./empty_report.ts";
import { HashRing } from "./hash_ring.ts";
import { pushFigures } from "./push_figures.ts";

const SHARDS = 512;
const UPSTREAM_COUNTS = [12, 13, 14, 15];
const MAX_MOVED_OVER_LEAST = 1.1;
const EVENTS = ["loss", "return", "growth"] as const;
// A round is the loss and the return of one upstream.
const LOSS_ROUNDS = 8;
const PLAN_INTERVAL_MS = 300;
const SETTLE_MS = 60_000;
const COLD_STATE_MS = 2000;
const RATE_PER_S = 1000;
const COLD_START = { ratePerS: 10, rampMs: 1000 };

/** Assignment of the shards to upstreams by one of the compared methods. */
type AssignmentArm = {
  /**
   * Applies a change of the upstreams, and returns the number of shards moved
   * until the assignment no longer changes.
   */
  applyChange: (change: { lost?: string; added?: string }) => number;
  /** Returns the number of shards that an upstream owns. */
  countOf: (id: string) => number;
};

function startShardPlans(ids: readonly string[]): AssignmentArm {
  const ownShards = Array.from({ length: SHARDS }, (_, shard) => shard);
  const upstreams = new Map(
    ids.map((id) => [id, { lost: false, coldUntil: -Infinity }]),
  );
  const warmUp = new WarmUpTracker();
  let owners: (string | undefined)[] = ownShards.map(() => undefined);
  let now = 0;
  const countOf = (id: string) => owners.filter((owner) => owner === id).length;
  const planOnce = () => {
    const listed = [...upstreams].map(([id, { lost, coldUntil }]) => ({
      id,
      state: lost
        ? "lost" as const
        : now < coldUntil
        ? "cold" as const
        : "warm" as const,
      out: false,
      count: countOf(id),
    }));
    const caps = warmUp.caps({
      upstreams: listed,
      own: SHARDS,
      ratePerS: RATE_PER_S,
      coldStart: COLD_START,
    }, now);
    const next = planShards({
      own: ownShards,
      owners,
      upstreams: listed.map(({ id, state }) => ({
        id,
        weight: 1,
        state: state === "lost" ? "out" : "in",
        cap: caps.get(id),
      })),
    });
    const moved = next.filter((owner, shard) => owner !== owners[shard]).length;
    owners = next;
    now += PLAN_INTERVAL_MS;
    return moved;
  };
  const applyChange: AssignmentArm["applyChange"] = ({ lost, added }) => {
    if (lost !== undefined) {
      upstreams.set(lost, { lost: true, coldUntil: -Infinity });
    }
    if (added !== undefined) {
      upstreams.set(added, { lost: false, coldUntil: now + COLD_STATE_MS });
    }
    let moved = 0;
    const end = now + SETTLE_MS;
    while (now < end) moved += planOnce();
    return moved;
  };
  applyChange({});
  return { applyChange, countOf };
}

function startHashing(ids: readonly string[]): AssignmentArm {
  const present = new Set(ids);
  const assign = () => {
    const ring = new HashRing([...present]);
    return Array.from(
      { length: SHARDS },
      (_, shard) => ring.ownerOf(`shard:${shard}`),
    );
  };
  let owners = assign();
  return {
    applyChange({ lost, added }) {
      if (lost !== undefined) present.delete(lost);
      if (added !== undefined) present.add(added);
      const next = assign();
      const moved = next.filter((id, shard) => id !== owners[shard]).length;
      owners = next;
      return moved;
    },
    countOf: (id) => owners.filter((owner) => owner === id).length,
  };
}

function runOnce(
  report: BenchReport,
  arm: { name: string; start: (ids: readonly string[]) => AssignmentArm },
  opts: { size: number; seed: number },
): void {
  const random = xoroshiro128plus(opts.seed);
  const live = Array.from(
    { length: opts.size },
    (_, index) => `upstream-${opts.seed}-${index}`,
  );
  const assignment = arm.start(live);
  const totals = new Map<string, { moved: number; least: number }>(
    EVENTS.map((event) => [event, { moved: 0, least: 0 }]),
  );
  const record = (event: string, moved: number, least: number) => {
    const total = totals.get(event);
    if (total === undefined) return;
    total.moved += moved;
    total.least += least;
  };
  for (let round = 0; round < LOSS_ROUNDS; round += 1) {
    const lost = live[uniformInt(random, 0, live.length - 1)];
    if (lost === undefined) break;
    // Only the shards of the lost upstream have to move.
    const least = assignment.countOf(lost);
    record("loss", assignment.applyChange({ lost }), least);
    // A balanced assignment gives this many shards to the returning upstream.
    record(
      "return",
      assignment.applyChange({ added: lost }),
      Math.floor(SHARDS / live.length),
    );
  }
  const added = `upstream-${opts.seed}-added`;
  live.push(added);
  record(
    "growth",
    assignment.applyChange({ added }),
    Math.floor(SHARDS / live.length),
  );
  for (const [event, { moved, least }] of totals) {
    pushFigures(report.arms, `${arm.name}, ${event}, ${opts.size}`, {
      movedOverLeast: moved / least,
    });
  }
}

/**
 * Measures how many shards move when an upstream is lost, returns or is added,
 * relative to the least number that has to move.
 */
export const churnBench: Bench = {
  name: "churn",
  summary: "shards moved on loss, return and growth of upstreams",
  run({ seed, repetitions }) {
    const report = emptyReport({
      name: "churn",
      seed,
      notes: [
        `${SHARDS} shards; ${LOSS_ROUNDS} losses and returns, one growth a run`,
        "planShards and WarmUpTracker on a moved clock; no processes",
        "hashing: shards on a ring; its least number is that of a balanced " +
        "assignment, so that it can move fewer",
      ],
    });
    for (let index = 0; index < repetitions; index += 1) {
      for (const size of UPSTREAM_COUNTS) {
        // Arm names in the report: "ours" is the assignment of this router.
        for (
          const arm of [
            { name: "ours", start: startShardPlans },
            { name: "consistent hashing", start: startHashing },
          ]
        ) runOnce(report, arm, { size, seed: seed + index });
      }
    }
    for (const event of EVENTS) {
      const worst = Math.max(
        ...UPSTREAM_COUNTS.flatMap((size) =>
          report.arms[`ours, ${event}, ${size}`]?.movedOverLeast ?? []
        ),
      );
      report.bounds.push({
        figure: `moved over least, ${event}`,
        bound: `at most ${MAX_MOVED_OVER_LEAST}, worst ${worst.toFixed(3)}`,
        ok: worst <= MAX_MOVED_OVER_LEAST,
      });
    }
    return Promise.resolve(report);
  },
};
