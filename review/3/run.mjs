// Case 3: see claim.txt. Exit codes: 1 rule broken, 0 rule held, 2 not run.
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
import { answerBody, Worker } from "../lib/worker.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "desk";
const HOST = "review.example";
const WORKERS = 12;
/** Answers without a length are allowed, with and without trouble. */
const UNFRAMED_SHARE = 0.1;
/** Doses: see claim.txt. */
const BREAKING_WORKERS_SHARE = 0.5;
const BROKEN_ANSWERS_SHARE = 0.05;
const TROUBLE_MS = 5000;
const PERIODS = 6;
const PAUSE_MS = 1000;
const REQUESTS_PER_S = 100;

const dir = dirname(fileURLToPath(import.meta.url));
const recorder = new Recorder(dir);
const { log } = recorder;
const zones = { "a-1": "north", "b-1": "south", "c-1": "east" };
const { store, routers, close } = await createDeployment({
  recorder,
  zones,
  names: ["edge-a-1", "edge-b-1", "edge-c-1"],
});
const workers = Array.from({ length: WORKERS }, (_, index) =>
  new Worker({
    id: `i-${String(index).padStart(4, "0")}`,
    service: SERVICE,
    zone: Object.keys(zones)[index % 3],
    host: "127.0.0.1",
    store,
    slots: 3,
    sharded: false,
    workMs: () => 20 + Math.random() * 60,
    log,
  })
);
let violations = 0;

async function call(router, safe) {
  const { id, status, body } = await send(recorder, router, {
    method: safe ? "GET" : "POST",
    path: safe ? "/report/1" : "/log/1",
    host: HOST,
    deadlineMs: 5000,
  });
  if (status !== 200 || body === answerBody(id)) return;
  violations++;
  log({
    kind: "VIOLATION",
    what: "a success whose body is not the worker's whole body",
    id,
    bytes: body.length,
    wholeBytes: answerBody(id).length,
  });
}

async function run() {
  putManifest(store, {
    version: 4,
    services: [{ name: SERVICE }],
    routes: [
      { name: "report", prefix: "/report/", kind: "safe", service: SERVICE },
      { name: "log", prefix: "/log/", kind: "unsafe", service: SERVICE },
    ],
  });
  for (const worker of workers) {
    worker.unframedShare = UNFRAMED_SHARE;
    await worker.start();
  }
  for (const router of routers) router.start();
  if (!await waitUntilReady(routers, 15_000)) return false;
  let turn = 0;
  const traffic = setInterval(() => {
    void call(routers[turn++ % routers.length], Math.random() < 0.5);
  }, 1000 / REQUESTS_PER_S);
  await sleep(2000);
  for (let index = 0; index < PERIODS; index++) {
    const breaking = workers.toSorted(() => Math.random() - 0.5)
      .slice(0, Math.round(WORKERS * BREAKING_WORKERS_SHARE));
    if (TROUBLE) {
      log({ kind: "trouble", what: "workers break off answers" });
      for (const worker of breaking) worker.brokenShare = BROKEN_ANSWERS_SHARE;
    }
    await sleep(TROUBLE_MS);
    for (const worker of breaking) worker.brokenShare = 0;
    await sleep(PAUSE_MS);
  }
  clearInterval(traffic);
  await sleep(5500);
  const { events } = recorder;
  const answered = events.filter(({ kind, status }) =>
    kind === "answered" && status === 200
  ).length;
  log({
    kind: "summary",
    answered,
    resetOnTheWay: events.filter(({ kind }) =>
      kind === "answer reset on the way"
    ).length,
    violations,
  });
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
const code = !ran ? 2 : violations > 0 ? 1 : 0;
console.log(
  `case 3 (TROUBLE=${TROUBLE ? 1 : 0}): exit ${code}, ${violations} violations`,
);
process.exit(code);
