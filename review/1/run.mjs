// Case 1: see claim.txt. Exit codes: 1 rule broken, 0 rule held, 2 not run.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createDeployment,
  putManifest,
  Recorder,
  send,
  sleep,
  waitUntilReady,
} from "../lib/common.mjs";
import { Worker } from "../lib/worker.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "ledger";
const HOST = "review.example";
const WORKERS = 15;
/** Bounds of the rule. */
const MAX_OVERLAP_MS = 500;
/** Doses: see claim.txt. */
const CUT_MS = 7000;
const DOWN_MS = 1300;
/** Planned work: a zone is emptied, and its workers restart after that. */
const EVACUATION_AFTER_CUT_MS = 4000;
const RESTART_AFTER_EVACUATION_MS = 1000;
const EVACUATED_ZONE = "a-1";
/** Workers that are there at first; the others join one by one. */
const FIRST_WORKERS = 8;
const JOIN_GAP_MS = 450;
const KEYS = 65_536;
const REQUESTS_PER_S = 60;
const SAMPLE_MS = 20;

const dir = dirname(fileURLToPath(import.meta.url));
const recorder = new Recorder(dir);
const { log } = recorder;
const zones = { "a-1": "north", "b-1": "south", "c-1": "east" };
const { store, routers, close } = await createDeployment({
  recorder,
  zones,
  names: ["edge-a-1", "edge-b-1", "edge-c-1"],
});
const [leader, ...others] = routers;
/** Ranges that two workers hold at the same time, by their pair. */
const overlapping = new Map();
const violations = [];
const workers = Array.from({ length: WORKERS }, (_, index) =>
  new Worker({
    id: `i-${String(index).padStart(4, "0")}`,
    service: SERVICE,
    zone: Object.keys(zones)[index % 3],
    host: "127.0.0.1",
    store,
    slots: 3,
    sharded: true,
    workMs: () => 40 + Math.random() * 120,
    log: onWorkerEvent,
  })
);

function onWorkerEvent(event) {
  log(event);
  if (event.kind === "granted") checkFence(event);
  if (event.kind === "run") checkRun(event);
}

/** Highest fence number with which each worker had a range. */
const granted = [];

/** A worker takes a key with a number that is not above those of others. */
function checkFence({ worker, first, last, fence }) {
  const other = granted.find((grant) =>
    grant.worker !== worker && grant.fence >= fence &&
    grant.first <= last && first <= grant.last
  );
  const renewal = granted.some((grant) =>
    grant.worker === worker && grant.fence === fence &&
    grant.first <= first && last <= grant.last
  );
  if (other !== undefined) {
    report("fence", { worker, first, last, fence, other, renewal });
  }
  if (!renewal) granted.push({ worker, first, last, fence });
}

function checkRun({ worker, key, id }) {
  for (const entry of overlapping.values()) {
    if (!entry.pair.includes(worker)) continue;
    if (key < entry.first || key > entry.last) continue;
    entry.runs.set(worker, id);
    if (entry.runs.size === 2) {
      report("both begin requests", {
        pair: entry.pair,
        first: entry.first,
        last: entry.last,
        runs: [...entry.runs],
      });
    }
  }
}

function sampleOverlaps() {
  const now = performance.now();
  const present = new Set();
  for (const [index, one] of workers.entries()) {
    for (const other of workers.slice(index + 1)) {
      for (const a of one.held) {
        for (const b of other.held) {
          const first = Math.max(a.first, b.first);
          const last = Math.min(a.last, b.last);
          if (first > last) continue;
          const pair = [one.id, other.id];
          const id = `${pair.join("+")}:${first}-${last}`;
          present.add(id);
          const entry = overlapping.get(id) ??
            { pair, first, last, fences: [a.fence, b.fence], since: now, runs: new Map() };
          overlapping.set(id, entry);
          if (now - entry.since > MAX_OVERLAP_MS && !entry.reported) {
            entry.reported = true;
            report("two workers hold the same keys for over 0.5 s", {
              pair,
              first,
              last,
              fences: entry.fences,
            });
          }
        }
      }
    }
  }
  for (const id of overlapping.keys()) {
    if (!present.has(id)) overlapping.delete(id);
  }
}

function report(what, fields) {
  violations.push(what);
  log({ kind: "VIOLATION", what, ...fields });
}

async function restart(worker) {
  worker.crash();
  await sleep(DOWN_MS);
  // It starts again under the id that it had.
  await worker.start();
}

let cutAt;
let killed = false;
store.onTransaction = (machine, { expect }) => {
  if (cutAt === undefined || killed || expect.length === 0) return undefined;
  // The machine that last wrote to the store under a condition is killed.
  killed = true;
  routers.find(({ name }) => name === machine).kill("SIGKILL");
  return "unanswered";
};

async function run() {
  putManifest(store, {
    version: 4,
    services: [{ name: SERVICE, sharded: true }],
    routes: [
      { name: "report", prefix: "/report/", kind: "safe", service: SERVICE },
      { name: "log", prefix: "/log/", kind: "unsafe", service: SERVICE },
    ],
  });
  for (const worker of workers.slice(0, FIRST_WORKERS)) await worker.start();
  leader.start();
  await sleep(1500);
  for (const router of others) router.start();
  if (!await waitUntilReady(routers, 15_000)) return false;
  const sampler = setInterval(sampleOverlaps, SAMPLE_MS);
  let turn = 0;
  const traffic = setInterval(() => {
    const router = routers[turn++ % routers.length];
    const safe = Math.random() < 0.8;
    void send(recorder, router, {
      method: safe ? "GET" : "POST",
      path: safe ? "/report/1" : "/log/1",
      host: HOST,
      key: Math.floor(Math.random() * KEYS),
      deadlineMs: 5000,
    });
  }, 1000 / REQUESTS_PER_S);
  for (const worker of workers.slice(FIRST_WORKERS)) {
    await sleep(JOIN_GAP_MS);
    await worker.start();
  }
  await sleep(4000);
  if (TROUBLE) {
    log({ kind: "trouble", what: "the store gives the leader no response" });
    cutAt = performance.now();
    store.setSilent(leader.name, true);
    setTimeout(() => {
      store.setSilent(leader.name, false);
      log({ kind: "trouble", what: "the store answers the leader again" });
    }, CUT_MS);
  }
  await sleep(EVACUATION_AFTER_CUT_MS);
  store.put("op", `evacuate/${EVACUATED_ZONE}`, "{}");
  log({ kind: "planned", what: `zone ${EVACUATED_ZONE} is emptied` });
  await sleep(RESTART_AFTER_EVACUATION_MS);
  if (TROUBLE) {
    log({ kind: "trouble", what: "the workers of the zone are down" });
    await Promise.all(
      workers.filter(({ zone }) => zone === EVACUATED_ZONE).map(restart),
    );
  } else await sleep(DOWN_MS);
  await sleep(5000);
  clearInterval(traffic);
  await sleep(5500);
  clearInterval(sampler);
  const answered = recorder.events.filter(({ kind, status }) =>
    kind === "answered" && status === 200
  ).length;
  log({ kind: "summary", answered, violations: violations.length });
  return answered > 100;
}

let ran = false;
try {
  ran = await run();
} finally {
  for (const worker of workers) worker.close();
  await close();
  recorder.flush();
}
const code = !ran ? 2 : violations.length > 0 ? 1 : 0;
console.log(
  `case 1 (TROUBLE=${TROUBLE ? 1 : 0}): exit ${code}`,
  [...new Set(violations)].map((what) => [what, violations.filter((one) => one === what)])
    .map(([what, all]) => `${what}: ${all.length}`).join("; "),
);
process.exit(code);
