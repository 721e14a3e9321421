import assert from "node:assert/strict";
import { connect } from "node:net";
import { it } from "node:test";
import { checkGuarantees } from "../../dev/soak/check_guarantees.ts";
import { LoopbackProxy } from "../../dev/soak/loopback_proxy.ts";
import type { UpstreamEvent } from "../../platform/standins/upstream_event.ts";
import { UpstreamServer } from "../../platform/standins/upstream_server.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import { ManualClock } from "../support/manual_clock.ts";

const SETTLE_MS = 80;
const POLL_INTERVAL_MS = 10;
const MAX_POLLS = 1000;
const BODY = JSON.stringify({
  from: 0,
  target: 9,
  fence: 1,
  hold_time: "4000ms",
});
const GRANT = [
  "POST /api/grant HTTP/1.1",
  "host: upstream",
  `content-length: ${BODY.length}`,
  "",
  BODY,
].join("\r\n");

it("a grant that arrives after its sender has closed is recorded with the time of its arrival, and found as a second owner", async (test) => {
  const clock = new ManualClock();
  const events: UpstreamEvent[] = [];
  const upstream = new UpstreamServer({
    id: "a",
    keyed: true,
    slots: 1,
    serviceMs: 1,
    clock,
    onEvent: (event) => events.push(event),
  });
  const proxy = new LoopbackProxy(await upstream.listen(0), clock);
  const socket = connect(await proxy.listen(), "127.0.0.1");
  test.after(() => {
    socket.destroy();
    proxy.close();
    upstream.close();
  });
  const granted = async (count: number) => {
    for (let polls = 0; polls < MAX_POLLS && events.length < count; polls++) {
      await systemClock.sleep(POLL_INTERVAL_MS);
    }
    assert.equal(events.length, count);
  };
  socket.resume();
  socket.write(GRANT);
  await granted(1);
  // After the answer, so that nothing unread makes the kernel reset.
  await systemClock.sleep(SETTLE_MS);
  proxy.setFault({ kind: "silent" });
  socket.write(GRANT);
  await systemClock.sleep(SETTLE_MS);
  socket.destroy();
  await systemClock.sleep(SETTLE_MS);
  await clock.advance(5000);
  proxy.setFault({ kind: "none" });
  await clock.advance(1200);
  await granted(2);
  const grant = { kind: "granted", first: 0, last: 9, fence: 1 } as const;
  assert.deepEqual(events, [
    { ...grant, at: 0, until: 4000 },
    { ...grant, at: 6200, until: 10_200 },
  ]);
  const found = checkGuarantees({
    calls: [],
    upstreams: [
      { name: "a", events, endedAt: undefined },
      {
        name: "b",
        events: [{ ...grant, fence: 2, at: 4900, until: 8900 }],
        endedAt: undefined,
      },
    ],
    probes: [],
    faults: [],
    stops: [],
  });
  assert.deepEqual(found, ["key 0 held by a and b for 2700.0 ms"]);
});
