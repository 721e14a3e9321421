import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startKeyedUpstream } from "../support/keyed_upstream.ts";
import { PlatformRouter } from "../support/platform_router.ts";
import { RawCaller } from "../support/raw_caller.ts";
import { StoppingCallers } from "../support/stopping_callers.ts";
import { systemClock } from "../../src/base/system_clock.ts";

const TEST_TIMEOUT_MS = 120_000;
const WORK_MS = 40;
/** New connections are accepted for half of it, also on a slow computer. */
const STOP_MS = 20_000;
const CALLERS = 6;
const CHECK_INTERVAL_MS = 1000;
/** Less than the TTL of the leader lease, so that the keys stay granted. */
const AWAY_MS = 300;
const FEED_WAIT_MS = 1000;

function config(version: number, prefix = "/a/") {
  return JSON.stringify({
    version: `r${version}`,
    services: [{
      name: "s1",
      healthCheckPath: "/health",
      maxConnections: 100,
      warmup: "1s",
      warmupPerS: 5,
      sharded: true,
    }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 100000,
      headerTimeout: "3s",
      idleTimeout: "15s",
    },
    hosts: [{
      host: "h.example",
      paths: [{
        name: "r1",
        prefix,
        kind: "unsafe",
        timeout: "2s",
        targetLatency: "500ms",
        priority: 1,
        service: "s1",
        maxAttempts: 2,
      }],
    }],
  });
}

function registryRow(port: number, fields: Record<string, unknown> = {}) {
  return JSON.stringify({
    service: "s1",
    address: `127.0.0.1:${port}`,
    zone: "a1",
    version: "1.0",
    slots: 2,
    state: "ready",
    warmupRemaining: "0ms",
    sequence: 1,
    born: 1,
    ...fields,
  });
}

function request(id: string, prefix = "/a/") {
  return `POST ${prefix}x?y=1 HTTP/1.1\r\nHost: h.example\r\n` +
    `Fescuerun-Request-Id: ${id}\r\nFescuerun-Shard-Key: 77\r\n` +
    "Fescuerun-Request-Deadline: 2000\r\nContent-Length: 2\r\n\r\nhi";
}

describe("a router on the platform", { timeout: TEST_TIMEOUT_MS }, () => {
  it("starts from the store, grants keys, serves requests and stops", async () => {
    const upstream = await startKeyedUpstream();
    const router = await PlatformRouter.start([
      ["op", "config", config(1)],
      ["servers", "i-1", registryRow(upstream.port)],
    ], STOP_MS);
    await router.until(() => upstream.grants.length > 0);
    const caller = new RawCaller(router.port).write(request("id-1"));
    const text = await caller.until(/POST \/a\/x\?y=1$/);
    assert.match(text, /^HTTP\/1.1 200 /);
    assert.match(text, /fescuerun-response-signature: s-id-1\r\n/i);
    const unknown = new RawCaller(router.port).write(
      "GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
    );
    assert.match(await unknown.until(/\}$/), /^HTTP\/1.1 404 /);
    router.stop();
    assert.ok(!await router.isReady());
    // A request on a connection that is already open is still served.
    caller.text = "";
    caller.write(request("id-2"));
    assert.match(await caller.until(/y=1$/), /connection: close/i);
    await router.close();
    await caller.closed();
    upstream.close();
  });

  // Load pattern: callers with kept and with new connections, behind a load
  // balancer that takes a router out after two failed checks, 1 s apart. Guards
  // against a stop that cuts off requests that were just accepted.
  it("answers every request around a planned stop under load", async (t) => {
    const upstream = await startKeyedUpstream(WORK_MS);
    t.after(() => upstream.close());
    const router = await PlatformRouter.start([
      ["op", "config", config(1)],
      ["servers", "i-1", registryRow(upstream.port, { slots: 64 })],
    ], STOP_MS);
    await router.until(() => upstream.grants.length > 0);
    const callers = new StoppingCallers(router.port, CALLERS);
    await callers.untilAnswered(200);
    router.stop();
    const stopped = router.close();
    for (let misses = 0; misses < 2; misses++) {
      assert.ok(!await router.isReady());
      await systemClock.sleep(CHECK_INTERVAL_MS);
    }
    callers.stopConnecting();
    await stopped;
    await callers.ended;
    assert.deepEqual(callers.failures, []);
  });

  // Guards against one row of another writer that ends every leader, since the
  // next one reads it too.
  it("serves beside registry rows that name no usable upstream", async () => {
    const upstream = await startKeyedUpstream();
    const { port } = upstream;
    const rejections: unknown[] = [];
    const onRejection = (err: unknown) => rejections.push(err);
    process.on("unhandledRejection", onRejection);
    const odd: [string, string][] = [
      ["port-out-of-range", registryRow(99_999)],
      ["port-0", registryRow(0)],
      ["no-address", registryRow(port, { address: "999.1.1.1:80" })],
      ["dots", registryRow(port, { address: "....:80" })],
      ["id\nwith a line break", registryRow(port)],
      ["\u540d", registryRow(port)],
      ["__proto__", registryRow(port, { service: "__proto__" })],
      ["long", registryRow(port, { warmupRemaining: `${"9".repeat(23)}ms` })],
      ["many-slots", registryRow(port, { slots: 9e15 })],
      ["nested", "[".repeat(60_000)],
      ["deep", `{"service":${"[".repeat(30_000)}${"]".repeat(30_000)}}`],
    ];
    const router = await PlatformRouter.start([
      ["op", "config", config(1)],
      ...odd.map(([key, row]) => ["servers", key, row] as const),
      ["servers", "i-1", registryRow(port)],
    ]);
    await router.until(() =>
      upstream.grants.some(({ from, target }) => from <= 77 && 77 <= target)
    );
    // The rows change and a good row is written after them.
    for (const [key, row] of odd) router.memory.put("servers", key, row + " ");
    router.memory.put("op", "config", config(2));
    const caller = new RawCaller(router.port).write(request("id-1"));
    assert.match(await caller.until(/y=1$/), /^HTTP\/1.1 200 /);
    await router.close();
    process.off("unhandledRejection", onRejection);
    upstream.close();
    assert.deepEqual(rejections, []);
    const text = await router.metrics.registry.metrics();
    assert.match(text, /fescuerun_invalid_rows_total\{table="servers"\} \d/);
  });

  // Guards against a route of a kind that this version does not know, which
  // once took the whole configuration away.
  it("serves the other routes of a configuration with an unusable one", async () => {
    const upstream = await startKeyedUpstream();
    const value = JSON.parse(config(1)) as {
      hosts: { paths: Record<string, unknown>[] }[];
    };
    const paths = value.hosts[0]!.paths;
    const [known] = paths;
    paths.push({ ...known, name: "r2", prefix: "/b/", kind: "upload" });
    paths.push({ ...known, name: "r3", prefix: "/a/b/", timeout: "soon" });
    const router = await PlatformRouter.start([
      ["op", "config", JSON.stringify(value)],
      ["servers", "i-1", registryRow(upstream.port)],
    ]);
    await router.until(() => upstream.grants.length > 0);
    const statusOf = async (target: string) => {
      const caller = new RawCaller(router.port)
        .write(request("id-1").replace("/a/x?y=1", target));
      return (await caller.until(/\r\n\r\n.+$/s)).slice(9, 12);
    };
    assert.equal(await statusOf("/a/x"), "200");
    assert.equal(await statusOf("/b/x"), "200");
    // Not run by the route with the shorter prefix, and not 404.
    assert.equal(await statusOf("/a/b/x"), "503");
    await router.close();
    upstream.close();
  });

  // Guards against a router that keeps rows of before a restore of the store or
  // ignores those after it, whose versions are lower, that returns to an older
  // configuration, and that loses the grants of keys.
  it("serves through a restore of the store and follows it afterwards", async () => {
    const upstream = await startKeyedUpstream();
    const router = await PlatformRouter.start([
      ["op", "config", config(1)],
      ["servers", "i-1", registryRow(upstream.port)],
    ]);
    const { memory } = router;
    const serves = async (prefix: string) => {
      const caller = new RawCaller(router.port).write(request("id-1", prefix));
      return /^HTTP\/1.1 200 /.test(await caller.until(/\r\n\r\n/));
    };
    const writtenInEra1 = () =>
      [...memory.rows.values()].some(({ table, value }) =>
        table === "fescuerun-keeper" &&
        Buffer.from(value).toString().includes('"era":1')
      );
    await router.until(() => upstream.grants.length > 0);
    await router.until(() => serves("/a/"));
    const copy = memory.copy();
    for (let n = 0; n < 2000; n++) memory.put("op", "other", `${n}`);
    memory.put("op", "config", config(2, "/b/"));
    await router.until(() => serves("/b/"));
    await router.restoreStore(copy, AWAY_MS);
    await router.until(writtenInEra1);
    // Longer than the wait of the feed of the operators' table.
    await systemClock.sleep(FEED_WAIT_MS);
    assert.ok(await serves("/b/"), "older configuration in use");
    memory.put("op", "config", config(3, "/c/"));
    assert.ok(memory.version < 2000, "the version is not lower than before");
    await router.until(() => serves("/c/"));
    await router.close();
    upstream.close();
  });
});
