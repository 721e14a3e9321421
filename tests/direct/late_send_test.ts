import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { systemClock } from "../../src/base/system_clock.ts";
import type { FleetView } from "../../src/direct/fleet_view.ts";
import { FleetRig } from "../support/fleet_rig.ts";
import { testCall } from "../support/test_call.ts";
import { testDirectRouter } from "../support/test_direct_router.ts";

const DEADLINE_MS = 600;

type Leave = (view: FleetView) => void;
const LEAVES: Record<string, Leave> = {
  "its entry is removed": (view) => view.removeUpstreams(["u-1"]),
  "it drains": (view) => {
    const upstream = view.upstream("u-1");
    if (upstream === undefined) return;
    const entry = { ...upstream.entry, heartbeat: 2 };
    // Known so late that even the owner of a key gets no requests.
    view.setUpstream({ ...entry, state: "draining" }, {
      source: "feed",
      latenessMs: 60_000,
    });
  },
  "its failure domain is evacuated": (view) =>
    view.setEvacuated(new Set(["a1"]), {
      source: "feed",
      latenessMs: 60_000,
    }),
};

/** Bytes that an upstream gets that leaves as it accepts a connection. */
async function bytesSent(leave: Leave): Promise<number> {
  const rig = new FleetRig(systemClock, 1);
  rig.configure([rig.route()], [{ keyed: true }]);
  let bytes = 0;
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", (part) => {
      bytes += part.length;
    });
    leave(rig.view);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const bound = server.address();
  const port = typeof bound === "object" ? bound?.port : undefined;
  rig.view.setRegistry([]);
  // Connections to owners of keys wait for a round trip before they carry one.
  const upstream = rig.upstream({ address: `127.0.0.1:${port}` });
  rig.owners({ id: "u-1" });
  const outcome = await testDirectRouter(rig, 0).handle(
    testCall({
      receivedAt: systemClock.now(),
      deadlineMs: DEADLINE_MS,
      key: 7,
    }),
    new AbortController().signal,
  );
  upstream.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  assert.equal(sockets.length, 1);
  assert.equal(
    outcome.kind === "refused" && outcome.refusal.outcome,
    "not_run",
  );
  return bytes;
}

// Guards against a request that is written to an upstream although its leave
// became known while the connection was established (DRAIN, EVAC).
describe("a connection on which nothing has been sent", () => {
  for (const [name, leave] of Object.entries(LEAVES)) {
    it(`carries no request of the owner's key once ${name}`, async () => {
      assert.equal(await bytesSent(leave), 0);
    });
  }
});
