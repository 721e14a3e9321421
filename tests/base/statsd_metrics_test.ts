import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { test } from "node:test";
import { StatsdMetrics } from "../../src/base/statsd_metrics.ts";
import { silentLogger } from "../support/silent_logger.ts";

// Guards against metrics that lose their name, kind, sample rate or tags.
test("sends metrics with name, kind, sample rate and tags", async () => {
  const server = createSocket("udp4");
  const lines: string[] = [];
  const complete = new Promise<void>((resolve) => {
    server.on("message", (packet) => {
      lines.push(...packet.toString().trim().split("\n"));
      if (lines.some((line) => line.startsWith("t.hold.held"))) resolve();
    });
  });
  server.bind(0, "127.0.0.1");
  await once(server, "listening");
  const metrics = new StatsdMetrics({
    address: `127.0.0.1:${server.address().port}`,
    prefix: "t.",
    vm: "vm1",
  }, silentLogger());
  const tags = { region: "sierra", service: "usage" };
  metrics.increment("retry.taken", 2, tags);
  // One in ten is sent; the probability that none of 500 is sent is below
  // 1e-22.
  for (let i = 0; i < 500; i++) metrics.timing("request.answer_ms", 7, tags);
  metrics.gauge("hold.held", 3, { region: "sierra" });
  await metrics.close();
  await complete;
  server.close();
  assert.deepEqual([...new Set(lines)], [
    "t.retry.taken:2|c|#vm:vm1,region:sierra,service:usage",
    "t.request.answer_ms:7|ms|@0.1|#vm:vm1,region:sierra,service:usage",
    "t.hold.held:3|g|#vm:vm1,region:sierra",
  ]);
  const timings = lines.length - 2;
  assert.ok(timings > 0 && timings < 250, `${timings} of 500 were sent`);
});
