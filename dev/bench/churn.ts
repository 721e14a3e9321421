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
const SIZES = [12, 13, 14, 15];
const BOUND = 1.1;
const EVENTS = ["loss", "return", "growth"] as const;
const ROUNDS = 8;
const STEP_MS = 300;
const EVENT_MS = 60_000;
const COLD_MS = 2000;
const RATE_PER_S = 1000;
const COLD_START = { ratePerS: 10, rampMs: 1000 };

/** The upstreams as one of the arms assigns shards to them. */
type Arm = {
  /** Lets the assignment settle and returns the number of moves. */
  settle: (change: { lost?: string; added?: string }) => number;
  countOf: (id: string) => number;
};

function ours(ids: readonly string[]): Arm {
  const own = Array.from({ length: SHARDS }, (_, shard) => shard);
  const upstreams = new Map(
    ids.map((id) => [id, { lost: false, coldUntil: -Infinity }]),
  );
  const warmUp = new WarmUpTracker();
  let owners: (string | undefined)[] = own.map(() => undefined);
  let now = 0;
  const countOf = (id: string) => owners.filter((owner) => owner === id).length;
  const step = () => {
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
      own,
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
    now += STEP_MS;
    return moved;
  };
  const settle: Arm["settle"] = ({ lost, added }) => {
    if (lost !== undefined) {
      upstreams.set(lost, { lost: true, coldUntil: -Infinity });
    }
    if (added !== undefined) {
      upstreams.set(added, { lost: false, coldUntil: now + COLD_MS });
    }
    let moved = 0;
    const end = now + EVENT_MS;
    while (now < end) moved += step();
    return moved;
  };
  settle({});
  return { settle, countOf };
}

function hashing(ids: readonly string[]): Arm {
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
    settle({ lost, added }) {
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
  arm: { name: string; start: (ids: readonly string[]) => Arm },
  opts: { size: number; seed: number },
): void {
  const random = xoroshiro128plus(opts.seed);
  const live = Array.from(
    { length: opts.size },
    (_, index) => `upstream-${opts.seed}-${index}`,
  );
  const state = arm.start(live);
  const sums = new Map<string, { moved: number; least: number }>(
    EVENTS.map((event) => [event, { moved: 0, least: 0 }]),
  );
  const note = (event: string, moved: number, least: number) => {
    const sum = sums.get(event);
    if (sum === undefined) return;
    sum.moved += moved;
    sum.least += least;
  };
  for (let round = 0; round < ROUNDS; round += 1) {
    const lost = live[uniformInt(random, 0, live.length - 1)];
    if (lost === undefined) break;
    // Whatever is lost must move, and nothing else has to.
    const least = state.countOf(lost);
    note("loss", state.settle({ lost }), least);
    // A balanced assignment gives this many to the one that returns.
    note(
      "return",
      state.settle({ added: lost }),
      Math.floor(SHARDS / live.length),
    );
  }
  const added = `upstream-${opts.seed}-added`;
  live.push(added);
  note(
    "growth",
    state.settle({ added }),
    Math.floor(SHARDS / live.length),
  );
  for (const [event, { moved, least }] of sums) {
    pushFigures(report.arms, `${arm.name}, ${event}, ${opts.size}`, {
      movedOverLeast: moved / least,
    });
  }
}

/** Shards moved on loss, return and growth, against the least possible. */
export const churnBench: Bench = {
  name: "churn",
  summary: "shards moved on loss, return and growth of upstreams",
  run({ seed, repetitions }) {
    const report = emptyReport({
      name: "churn",
      seed,
      notes: [
        `${SHARDS} shards; ${ROUNDS} losses and returns, one growth a run`,
        "planShards and WarmUpTracker on a moved clock; no processes",
        "hashing: shards on a ring; its least number is that of a balanced " +
        "assignment, so that it can move fewer",
      ],
    });
    for (let index = 0; index < repetitions; index += 1) {
      for (const size of SIZES) {
        for (
          const arm of [
            { name: "ours", start: ours },
            { name: "consistent hashing", start: hashing },
          ]
        ) runOnce(report, arm, { size, seed: seed + index });
      }
    }
    for (const event of EVENTS) {
      const worst = Math.max(
        ...SIZES.flatMap((size) =>
          report.arms[`ours, ${event}, ${size}`]?.movedOverLeast ?? []
        ),
      );
      report.bounds.push({
        figure: `moved over least, ${event}`,
        bound: `at most ${BOUND}, worst ${worst.toFixed(3)}`,
        ok: worst <= BOUND,
      });
    }
    return Promise.resolve(report);
  },
};
