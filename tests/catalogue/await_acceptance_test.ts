import assert from "node:assert/strict";
import { test } from "node:test";
import type { AcceptanceEvent } from "../../src/catalogue/acceptance_event.ts";
import { awaitAcceptance } from "../../src/catalogue/await_acceptance.ts";
import { FakeCatalogueMembers } from "../support/fake_catalogue_members.ts";
import { ManualClock } from "../support/manual_clock.ts";

type Members = FakeCatalogueMembers["members"];

const cases: {
  name: string;
  members: [string, Parameters<Members["set"]>[1]][];
  /** Changes of the members, each with its time in milliseconds. */
  changes?: [number, (members: FakeCatalogueMembers) => void][];
  expected: string;
  /** Earliest and latest time of the last event. */
  endsBetweenMs: [number, number];
}[] = [
  {
    name: "accepts at once when all members have confirmed",
    members: [["a", { version: 2 }], ["b", { version: 3 }]],
    expected: "accepted",
    endsBetweenMs: [0, 100],
  },
  {
    name: "waits for a member that confirms later",
    members: [["a", { version: 2 }], ["b", { version: 1 }]],
    changes: [[1500, ({ members }) => members.set("b", { version: 2 })]],
    expected: "accepted",
    endsBetweenMs: [1500, 1700],
  },
  {
    name: "counts a silent member as not serving once a witness has confirmed",
    members: [
      ["a", { version: 2 }],
      ["b", { version: undefined, witnesses: ["c", "a"] }],
      ["c", { version: undefined, witnesses: ["a"] }],
    ],
    expected: "accepted not serving b,c",
    endsBetweenMs: [2500, 3600],
  },
  {
    name: "does not rely on witnesses that are silent themselves",
    members: [
      ["a", { version: 2 }],
      ["b", { version: undefined, witnesses: ["c"] }],
      ["c", { version: undefined, witnesses: ["b"] }],
    ],
    expected: "committed_not_yet_in_force b,c",
    endsBetweenMs: [10_000, 10_200],
  },
  {
    name:
      "counts a silent member without witnesses, which is never in outage, as not serving",
    members: [["a", { version: 2 }], ["b", { version: undefined }]],
    expected: "accepted not serving b",
    endsBetweenMs: [2500, 3600],
  },
  {
    name: "waits for a member that reports serving the old version",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, mode: "outage", witnesses: ["a"] }],
    ],
    expected: "committed_not_yet_in_force b",
    endsBetweenMs: [10_000, 10_200],
  },
  {
    name: "counts a member that reports `cut_off` as not serving",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, mode: "cut_off", witnesses: ["a"] }],
    ],
    expected: "accepted not serving b",
    endsBetweenMs: [2500, 3600],
  },
  {
    name: "does not rely on a witness restarted since the row was written",
    members: [
      ["a", { version: 2 }],
      ["b", {
        version: undefined,
        witnesses: ["a"],
        witnessIncarnation: "0",
      }],
    ],
    expected: "committed_not_yet_in_force b",
    endsBetweenMs: [10_000, 10_200],
  },
  {
    name: "waits for a member that read the version but cannot parse it",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, witnesses: ["a"] }],
    ],
    changes: [[
      3000,
      ({ members }) =>
        members.set("b", { version: undefined, witnesses: ["a"] }),
    ]],
    expected: "committed_not_yet_in_force b",
    endsBetweenMs: [10_000, 10_200],
  },
  {
    name: "measures silence from the last report of serving the old version",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, mode: "outage", witnesses: ["a"] }],
    ],
    changes: [[
      3000,
      ({ members }) =>
        members.set("b", { version: undefined, witnesses: ["a"] }),
    ]],
    expected: "accepted not serving b",
    endsBetweenMs: [5400, 5800],
  },
  {
    name: "stops waiting for a member that deregisters",
    members: [["a", { version: 2 }], ["b", { version: 1 }]],
    changes: [[500, ({ members }) => members.delete("b")]],
    expected: "accepted",
    endsBetweenMs: [500, 1200],
  },
  {
    name: "waits for a member that registers during the wait",
    members: [["a", { version: 1 }]],
    changes: [
      [500, ({ members }) => members.set("b", { version: 1 })],
      [1500, ({ members }) => members.set("a", { version: 2 })],
      [4000, ({ members }) => members.set("b", { version: 2 })],
    ],
    expected: "accepted",
    endsBetweenMs: [4000, 4300],
  },
  {
    name: "does not ignore a member whose row has a newer schema",
    members: [
      ["a", { version: 2 }],
      ["b", { version: undefined, unreadable: true }],
    ],
    expected: "committed_not_yet_in_force b",
    endsBetweenMs: [10_000, 10_200],
  },
  {
    name: "accepts nothing while the member rows cannot be read",
    members: [["a", { version: 2 }]],
    changes: [
      [0, (fake) => fake.down = true],
      [2000, (fake) => fake.down = false],
    ],
    expected: "accepted",
    endsBetweenMs: [2000, 2300],
  },
  {
    name: "leaves the change unaccepted if the store outage lasts to the end",
    members: [["a", { version: 2 }]],
    changes: [[0, (fake) => fake.down = true]],
    expected: "committed_not_yet_in_force ?",
    endsBetweenMs: [10_000, 10_200],
  },
];

function describeEvent(event: AcceptanceEvent): string {
  switch (event.kind) {
    case "committed":
      return event.kind;
    case "accepted":
      return event.notServing.length === 0
        ? event.kind
        : `${event.kind} not serving ${event.notServing.join(",")}`;
    case "waiting":
    case "committed_not_yet_in_force":
      return `${event.kind} ${event.vms?.join(",") ?? "?"}`;
  }
}

async function collectEvents(
  fake: FakeCatalogueMembers,
  clock: ManualClock,
  signal: AbortSignal,
  events: AcceptanceEvent[],
): Promise<void> {
  const stream = awaitAcceptance({ version: 2, members: fake, clock, signal });
  for await (const event of stream) events.push(event);
}

for (const { name, members, changes = [], expected, endsBetweenMs } of cases) {
  test(`acceptance: ${name}`, async () => {
    const clock = new ManualClock();
    const fake = new FakeCatalogueMembers();
    for (const [vm, member] of members) fake.members.set(vm, member);
    if (changes[0]?.[0] === 0) changes[0][1](fake);
    const events: AcceptanceEvent[] = [];
    const done = collectEvents(
      fake,
      clock,
      new AbortController().signal,
      events,
    );
    for (const [at, change] of changes) {
      await clock.advance(at - clock.now());
      change(fake);
    }
    await clock.advance(12_000 - clock.now());
    await done;
    const last = events.at(-1)!;
    assert.equal(events[0]?.kind, "committed");
    assert.equal(describeEvent(last), expected);
    assert.ok("elapsedMs" in last);
    assert.ok(
      last.elapsedMs >= endsBetweenMs[0] && last.elapsedMs <= endsBetweenMs[1],
      `after ${last.elapsedMs} ms`,
    );
  });
}

test("progress lists the unconfirmed members, once for each change", async () => {
  const clock = new ManualClock();
  const fake = new FakeCatalogueMembers();
  for (const vm of ["a", "b", "c"]) fake.members.set(vm, { version: 1 });
  const events: AcceptanceEvent[] = [];
  const done = collectEvents(fake, clock, new AbortController().signal, events);
  await clock.advance(1000);
  fake.members.set("b", { version: 2 });
  await clock.advance(1000);
  fake.members.set("a", { version: 2 });
  fake.members.set("c", { version: 2 });
  await clock.advance(1000);
  await done;
  assert.deepEqual(
    events.map(describeEvent).filter((text) => text !== "waiting c"),
    [
      "committed",
      "waiting a,b,c",
      "waiting a,c",
      "accepted",
    ],
  );
  assert.deepEqual(fake.notified.sort(), ["a", "b", "c"]);
});

test("the wait ends when the operator disconnects", async () => {
  const clock = new ManualClock();
  const fake = new FakeCatalogueMembers();
  fake.members.set("a", { version: 1 });
  const events: AcceptanceEvent[] = [];
  const disconnected = new AbortController();
  const done = collectEvents(fake, clock, disconnected.signal, events);
  await clock.advance(1000);
  disconnected.abort();
  await done;
  assert.deepEqual(events.map(describeEvent), ["committed", "waiting a"]);
});
