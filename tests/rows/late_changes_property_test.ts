import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RelayRig } from "../support/relay_rig.ts";

const RUNS = 60;
const SPAN_MS = 9000;
const STEP_MS = 20;
const RELAYS = ["vm-0", "vm-1"] as const;

type Event =
  & { at: number }
  & (
    | { kind: "store_silent" | "store_back"; vm: 0 | 1 }
    | { kind: "paused" | "resumed"; vm: 0 | 1 }
    | { kind: "link_down" | "link_up"; vm: 0 | 1 }
    | { kind: "relay_set"; vm: 0 | 1 | 2 | undefined }
    | { kind: "round_trip"; ms: number }
  );

const at = fc.integer({ min: 0, max: SPAN_MS });
const relay = fc.constantFrom<0 | 1>(0, 1);
const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    at,
    kind: fc.constantFrom<"store_silent" | "store_back">(
      "store_silent",
      "store_back",
    ),
    vm: relay,
  }),
  fc.record({
    at,
    kind: fc.constantFrom<"paused" | "resumed">("paused", "resumed"),
    vm: relay,
  }),
  fc.record({
    at,
    kind: fc.constantFrom<"link_down" | "link_up">("link_down", "link_up"),
    vm: relay,
  }),
  fc.record({
    at,
    kind: fc.constant("relay_set" as const),
    vm: fc.constantFrom<0 | 1 | 2 | undefined>(0, 1, 2, undefined),
  }),
  fc.record({
    at,
    kind: fc.constant("round_trip" as const),
    ms: fc.constantFrom(2, 40, 300, 640),
  }),
);

function play(rig: RelayRig, event: Event): void {
  switch (event.kind) {
    case "store_silent":
    case "store_back": {
      const connections = rig.vms[event.vm]?.connections;
      assert.ok(connections !== undefined);
      connections.silent = event.kind === "store_silent";
      connections.killConnections();
      return;
    }
    case "paused":
    case "resumed": {
      const process = rig.vms[event.vm]?.process;
      assert.ok(process !== undefined);
      process.paused = event.kind === "paused";
      return;
    }
    case "link_down":
    case "link_up":
      rig.peers.setLinkDown(
        RELAYS[event.vm],
        "vm-2",
        event.kind === "link_down",
      );
      return;
    case "relay_set":
      rig.setRelay(event.vm === undefined ? undefined : `vm-${event.vm}`);
      return;
    case "round_trip":
      rig.peers.delayMs = event.ms / 2;
      return;
  }
}

describe("changes that an undisturbed VM must know", () => {
  for (
    const { boundMs, batchMs } of [
      { boundMs: 2000, batchMs: 250 },
      { boundMs: 2500, batchMs: 250 },
      { boundMs: 2500, batchMs: 1000 },
      { boundMs: 4000, batchMs: 1000 },
    ]
  ) {
    // Guards against a configuration that is in force late at a VM because of
    // what happens to other VMs.
    it(`are known in ${boundMs} ms with pauses of ${batchMs} ms, whatever happens to its relays`, async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(event, { maxLength: 12 }),
          fc.array(at, { minLength: 1, maxLength: 4 }),
          fc.boolean(),
          async (events, changes, deadIdle) => {
            const rig = new RelayRig({ boundMs, batchMs });
            rig.put("a", "0");
            for (const vm of [...RELAYS, "vm-2"]) rig.addVm(vm);
            await rig.advance(200);
            rig.setRelay("vm-0");
            await rig.advance(4000);
            const undisturbed = rig.vms[2];
            assert.ok(undisturbed !== undefined);
            if (deadIdle) undisturbed.connections.deadIdle = 1;
            const written = new Map<string, number>();
            const late: string[] = [];
            for (let ms = 0; ms < SPAN_MS + boundMs + STEP_MS; ms += STEP_MS) {
              const isNow = (time: number) => time >= ms && time < ms + STEP_MS;
              for (const one of events) if (isNow(one.at)) play(rig, one);
              for (const time of changes) {
                if (!isNow(time)) continue;
                rig.put(`c-${time}`, "1");
                written.set(`c-${time}`, ms);
              }
              await rig.advance(STEP_MS);
              for (const [key, writtenAt] of written) {
                if (undisturbed.seen.rows.has(key)) written.delete(key);
                else if (ms - writtenAt >= boundMs) late.push(key);
              }
            }
            rig.end.abort();
            assert.deepEqual(late, []);
          },
        ),
        { numRuns: RUNS },
      );
    });
  }
});
