// A router is killed and starts again, so that grants lapse, and one refusal of
// a worker has a late second copy.
// See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ask, finish, freePorts, manifest, note, rootOf, Router, sleep, Store, TROUBLE } from "../lib-2/harness.mjs";
import { KeyedWorker } from "../lib-2/keyed_worker.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const RESTART = TROUBLE; // TROUBLE=restart: the restart without the second copy
const COPY = TROUBLE && process.env.TROUBLE !== "restart";
let copies = 0;
let refusals = 0;

/** Once, sends a second copy of a refusal where the next answer is expected. */
class FaultyWorker extends KeyedWorker {
  lastRefused = new WeakMap();

  onRefused(req, id, status) {
    refusals++;
    note(`${this.id}: answers ${status} to ${id}, not run`);
    this.lastRefused.set(req.socket, { id, status });
  }

  onRun(req, id) {
    const refused = this.lastRefused.get(req.socket);
    this.lastRefused.delete(req.socket);
    if (!COPY || copies > 0 || refused?.id !== id) return;
    copies++;
    note(`${this.id}: second copy of its ${refused.status} to ${id} arrives late`);
    req.socket.write(`HTTP/1.1 ${refused.status} Misdirected Request\r\nFescuerun-Request-Id: ${id}\r\n` +
      "Fescuerun-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }
}

const store = await new Store().listen();
const worker = await new FaultyWorker({ id: "i-1", service: "yard-ledger" }).listen();
const beat = () => store.put("servers", worker.id, worker.row());
beat();
setInterval(beat, 870);
store.put("op", "config", manifest({
  version: 1,
  services: [{ name: "yard-ledger", sharded: true }],
  paths: [{ name: "hour-log", prefix: "/log/", kind: "unsafe", service: "yard-ledger", timeout: "1s", targetLatency: "400ms" }],
}));
const router = new Router({ root: rootOf(folder), node: "edge-quito-a-1", storePort: store.port, ports: await freePorts(5) }).start();
if (!await router.untilReady()) {
  await router.end();
  finish(folder, 2, "the router did not become ready");
}
const answers = new Map();
// One client, one request after the other. The router is killed up to three
// times and started again 3.5 s later, as by a loss of power.
const begin = Date.now();
let restarts = 0;
for (let i = 1; Date.now() - begin < 40_000; i++) {
  const id = `hour-log-${i}`;
  const key = Math.floor(Math.random() * 65536);
  const got = await ask({
    port: router.clientPort, method: "DELETE", path: "/log/1", id, deadlineMs: 1000,
    headers: { "fescuerun-shard-key": String(key) },
  });
  if (got.err !== "ECONNREFUSED") note(`client: ${id} -> ${got.err ?? got.status}`);
  answers.set(id, got);
  await sleep(30);
  if (RESTART && copies === 0 && restarts < 3 && Date.now() - begin > 6000 + 10_000 * restarts) {
    restarts++;
    note("router: killed");
    router.signal("SIGKILL");
    setTimeout(() => {
      router.start();
      note("router: started again");
    }, 3500);
  }
  if (copies > 0 && Date.now() - begin > 18_000) break;
  if (!RESTART && Date.now() - begin > 18_000) break;
}
await sleep(1500);
await router.end();
const count = new Map();
for (const { id } of KeyedWorker.runs) count.set(id, (count.get(id) ?? 0) + 1);
const twice = [...count].filter(([, times]) => times > 1);
for (const [id, times] of twice) note(`TWICE: unsafe ${id} ran ${times} times`);
const promised = [...answers].filter(([id, got]) => count.has(id) && [408, 421, 429, 503].includes(got.status));
for (const [id, got] of promised) note(`REFUSED: unsafe ${id} was answered ${got.status} and has run`);
note(`sent ${answers.size}, ran ${count.size}, refusals of the worker ${refusals}, second copies ${copies}, restarts ${restarts}`);
if (count.size < 100) finish(folder, 2, `only ${count.size} requests ran`);
if (COPY && copies === 0) finish(folder, 2, "no refused request was sent again on the same connection");
finish(folder, twice.length > 0 ? 1 : 0, twice.length > 0
  ? `TWICE broken: ${twice.length} unsafe request(s) ran more than once`
  : "TWICE held: no unsafe request ran more than once");
