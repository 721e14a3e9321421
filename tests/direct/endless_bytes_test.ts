import assert from "node:assert/strict";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { describe, it } from "node:test";
import type { Clock } from "../../src/base/clock.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { attempt } from "../../src/direct/attempt.ts";
import { startEndlessUpstream } from "../support/endless_upstream.ts";
import { attemptOptions } from "../support/attempt_options.ts";
import { RawUpstream } from "../support/raw_upstream.ts";
import { testCall } from "../support/test_call.ts";
import { testUpstream } from "../support/test_upstream.ts";

type Shape = Parameters<typeof startEndlessUpstream>[0];
type Upstream = ReturnType<typeof testUpstream>;

const TEST_TIMEOUT_MS = 240_000;
const DEADLINE_MS = 10_000;
const TRICKLE_DEADLINE_MS = 600;
const CALM_REQUESTS = 100;
const CALM_INTERVAL_MS = 20;
const MB = 1024 * 1024;
const PATIENCE = 20;

const SHAPES: readonly Shape[] = [
  "header lines",
  "a header",
  "a reason phrase",
  "interim answers",
  "a chunk extension",
  "trailers",
  "a body",
];

/**
 * Stretches the time limits of connections: on a computer with much else to do,
 * an attempt is given up before its connection stands.
 */
const patientClock: Clock = {
  ...systemClock,
  sleep: (ms, signal) => systemClock.sleep(ms * PATIENCE, signal),
};

function send(
  upstream: Upstream,
  deadlineMs: number,
  clock: Clock = systemClock,
) {
  return attempt(
    attemptOptions(upstream, {
      clock,
      deadlineAt: clock.now() + deadlineMs,
      maxConnections: 4,
    }),
    new AbortController().signal,
  );
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor(fraction * (sorted.length - 1))] ?? Number.NaN;
}

/** Sends 50 requests a second to a calm upstream; returns their times in ms. */
async function sendCalmRequests(upstream: Upstream): Promise<number[]> {
  const times: number[] = [];
  const sent: Promise<void>[] = [];
  for (let n = 0; n < CALM_REQUESTS; n++) {
    const startedAt = performance.now();
    sent.push(
      send(upstream, DEADLINE_MS, patientClock).then((result) => {
        assert.equal(result.kind, "answered", JSON.stringify(result));
        times.push(performance.now() - startedAt);
      }),
    );
    await systemClock.sleep(CALM_INTERVAL_MS);
  }
  await Promise.all(sent);
  return times;
}

describe("bytes without end", { timeout: TEST_TIMEOUT_MS }, () => {
  for (const shape of SHAPES) {
    // Guards against an upstream that keeps the processor busy and fills the
    // memory until the deadline.
    it(`ends ${shape} at full speed before the deadline`, async (t) => {
      const raw = await startEndlessUpstream(shape, "full speed");
      t.after(() => raw.close());
      const upstream = testUpstream({ address: `127.0.0.1:${raw.port}` });
      const startedAt = performance.now();
      const memory = process.memoryUsage.rss();
      const result = await send(upstream, DEADLINE_MS);
      assert.equal(result.kind, "lost");
      assert.notEqual(result.reason, "deadline exceeded");
      t.diagnostic(
        `${Math.round(performance.now() - startedAt)} ms, ${result.reason}, ` +
          `${Math.round((process.memoryUsage.rss() - memory) / MB)} MB`,
      );
      upstream.close();
    });

    it(`ends ${shape}, trickled, at the deadline`, async (t) => {
      const raw = await startEndlessUpstream(shape, "trickled");
      t.after(() => raw.close());
      const upstream = testUpstream({ address: `127.0.0.1:${raw.port}` });
      const result = await send(upstream, TRICKLE_DEADLINE_MS);
      assert.equal(result.kind, "lost");
      upstream.close();
    });
  }

  for (const speed of ["full speed", "trickled"] as const) {
    it(`delivers an answer before further bytes, ${speed}`, async (t) => {
      const raw = await startEndlessUpstream("bytes after the answer", speed);
      t.after(() => raw.close());
      const upstream = testUpstream({ address: `127.0.0.1:${raw.port}` });
      for (let n = 0; n < 3; n++) {
        const result = await send(upstream, DEADLINE_MS);
        // Bytes that came with the answer may spoil it, but never another one.
        if (result.kind === "answered") {
          assert.equal(Buffer.from(result.body).toString(), "body");
        } else assert.equal(result.kind, "lost");
      }
      upstream.close();
    });
  }

  for (const shape of ["a reason phrase", "interim answers"] as const) {
    it(`serves other requests beside two upstreams with ${shape}`, async (t) => {
      const raw = await new RawUpstream((socket) => {
        socket.write(
          "HTTP/1.1 200 OK\r\nFescuerun-Response-Signature: s\r\n" +
            `Fescuerun-Request-Id: ${testCall().requestId}\r\n` +
            "Content-Length: 4\r\n\r\nbody",
        );
      }).listen();
      t.after(() => raw.close());
      const calm = testUpstream(
        { address: `127.0.0.1:${raw.port}` },
        patientClock,
      );
      t.after(() => calm.close());
      const without = await sendCalmRequests(calm);
      const floods = await Promise.all(
        [0, 1].map(() => startEndlessUpstream(shape, "full speed")),
      );
      t.after(() => Promise.all(floods.map((flood) => flood.close())));
      const flooded = floods.map(({ port }) =>
        testUpstream({ address: `127.0.0.1:${port}` }, patientClock)
      );
      const lag = monitorEventLoopDelay();
      lag.enable();
      const end = new AbortController();
      const busy = flooded.map(async (upstream) => {
        while (!end.signal.aborted) {
          const { kind } = await send(upstream, DEADLINE_MS, patientClock);
          assert.equal(kind, "lost");
          await systemClock.sleep(CALM_INTERVAL_MS);
        }
      });
      const beside = await sendCalmRequests(calm);
      lag.disable();
      end.abort();
      await Promise.all(busy);
      t.diagnostic(
        `p99 without ${quantile(without, 0.99).toFixed(1)} ms, ` +
          `with ${quantile(beside, 0.99).toFixed(1)} ms; loop lag p99 ` +
          `${(lag.percentile(99) / 1e6).toFixed(1)} ms`,
      );
      for (const upstream of flooded) upstream.close();
    });
  }
});
