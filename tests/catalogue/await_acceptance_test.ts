import assert from "node:assert/strict";
import { test } from "node:test";
import type { AcceptanceEvent } from "../../src/catalogue/acceptance_event.ts";
import { awaitAcceptance } from "../../src/catalogue/await_acceptance.ts";
import { FakeCatalogueMembers } from "../support/fake_catalogue_members.ts";
import { ManualClock } from "../support/manual_clock.ts";

type Members = FakeCatalogueMembers["members"];

const cases: {
  guards: string;
  members: [string, Parameters<Members["set"]>[1]][];
  /** What happens at which time, in milliseconds. */
  later?: [number, (members: FakeCatalogueMembers) => void][];
  expected: string;
  /** Bounds of the time of the last event. */
  between: [number, number];
}[] = [
  {
    guards: "all members confirm at once",
    members: [["a", { version: 2 }], ["b", { version: 3 }]],
    expected: "accepted",
    between: [0, 100],
  },
  {
    guards: "a member that confirms later is waited for",
    members: [["a", { version: 2 }], ["b", { version: 1 }]],
    later: [[1500, ({ members }) => members.set("b", { version: 2 })]],
    expected: "accepted",
    between: [1500, 1700],
  },
  {
    guards: "a silent member counts as stopped once a witness has confirmed",
    members: [
      ["a", { version: 2 }],
      ["b", { version: undefined, witnesses: ["c", "a"] }],
      ["c", { version: undefined, witnesses: ["a"] }],
    ],
    expected: "accepted not serving b,c",
    between: [2500, 3600],
  },
  {
    guards: "witnesses that are silent themselves prove nothing",
    members: [
      ["a", { version: 2 }],
      ["b", { version: undefined, witnesses: ["c"] }],
      ["c", { version: undefined, witnesses: ["b"] }],
    ],
    expected: "committed_not_yet_in_force b,c",
    between: [10_000, 10_200],
  },
  {
    guards: "a silent member without witnesses is never in outage",
    members: [["a", { version: 2 }], ["b", { version: undefined }]],
    expected: "accepted not serving b",
    between: [2500, 3600],
  },
  {
    guards: "a member that says it serves the old version is not stopped",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, mode: "outage", witnesses: ["a"] }],
    ],
    expected: "committed_not_yet_in_force b",
    between: [10_000, 10_200],
  },
  {
    guards: "a member that is cut off does not serve the old version",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, mode: "cut_off", witnesses: ["a"] }],
    ],
    expected: "accepted not serving b",
    between: [2500, 3600],
  },
  {
    guards: "a witness that restarted since the row was written proves nothing",
    members: [
      ["a", { version: 2 }],
      ["b", {
        version: undefined,
        witnesses: ["a"],
        witnessIncarnation: "0",
      }],
    ],
    expected: "committed_not_yet_in_force b",
    between: [10_000, 10_200],
  },
  {
    guards: "a member that cannot parse the version serves the old one",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, witnesses: ["a"] }],
    ],
    later: [[
      3000,
      ({ members }) =>
        members.set("b", { version: undefined, witnesses: ["a"] }),
    ]],
    expected: "committed_not_yet_in_force b",
    between: [10_000, 10_200],
  },
  {
    guards: "silence counts from the last sign of serving the old version",
    members: [
      ["a", { version: 2 }],
      ["b", { version: 1, mode: "outage", witnesses: ["a"] }],
    ],
    later: [[
      3000,
      ({ members }) =>
        members.set("b", { version: undefined, witnesses: ["a"] }),
    ]],
    expected: "accepted not serving b",
    between: [5400, 5800],
  },
  {
    guards: "a member that stops gracefully is no longer waited for",
    members: [["a", { version: 2 }], ["b", { version: 1 }]],
    later: [[500, ({ members }) => members.delete("b")]],
    expected: "accepted",
    between: [500, 1200],
  },
  {
    guards: "a member that registers during the wait is waited for",
    members: [["a", { version: 1 }]],
    later: [
      [500, ({ members }) => members.set("b", { version: 1 })],
      [1500, ({ members }) => members.set("a", { version: 2 })],
      [4000, ({ members }) => members.set("b", { version: 2 })],
    ],
    expected: "accepted",
    between: [4000, 4300],
  },
  {
    guards: "a member of a newer record schema is not ignored",
    members: [
      ["a", { version: 2 }],
      ["b", { version: undefined, unreadable: true }],
    ],
    expected: "committed_not_yet_in_force b",
    between: [10_000, 10_200],
  },
  {
    guards: "nothing is accepted while the members are unknown",
    members: [["a", { version: 2 }]],
    later: [
      [0, (fake) => fake.down = true],
      [2000, (fake) => fake.down = false],
    ],
    expected: "accepted",
    between: [2000, 2300],
  },
  {
    guards: "a store outage to the end leaves the change unaccepted",
    members: [["a", { version: 2 }]],
    later: [[0, (fake) => fake.down = true]],
    expected: "committed_not_yet_in_force ?",
    between: [10_000, 10_200],
  },
];

function describe(event: AcceptanceEvent): string {
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

async function collect(
  fake: FakeCatalogueMembers,
  clock: ManualClock,
  signal: AbortSignal,
  events: AcceptanceEvent[],
): Promise<void> {
  const stream = awaitAcceptance({ version: 2, members: fake, clock, signal });
  for await (const event of stream) events.push(event);
}

for (const { guards, members, later = [], expected, between } of cases) {
  test(`acceptance: ${guards}`, async () => {
    const clock = new ManualClock();
    const fake = new FakeCatalogueMembers();
    for (const [vm, member] of members) fake.members.set(vm, member);
    if (later[0]?.[0] === 0) later[0][1](fake);
    const events: AcceptanceEvent[] = [];
    const done = collect(fake, clock, new AbortController().signal, events);
    for (const [at, change] of later) {
      await clock.advance(at - clock.now());
      change(fake);
    }
    await clock.advance(12_000 - clock.now());
    await done;
    const last = events.at(-1)!;
    assert.equal(events[0]?.kind, "committed");
    assert.equal(describe(last), expected);
    assert.ok("elapsedMs" in last);
    assert.ok(
      last.elapsedMs >= between[0] && last.elapsedMs <= between[1],
      `after ${last.elapsedMs} ms`,
    );
  });
}

test("progress names who is waited for, once for each change", async () => {
  const clock = new ManualClock();
  const fake = new FakeCatalogueMembers();
  for (const vm of ["a", "b", "c"]) fake.members.set(vm, { version: 1 });
  const events: AcceptanceEvent[] = [];
  const done = collect(fake, clock, new AbortController().signal, events);
  await clock.advance(1000);
  fake.members.set("b", { version: 2 });
  await clock.advance(1000);
  fake.members.set("a", { version: 2 });
  fake.members.set("c", { version: 2 });
  await clock.advance(1000);
  await done;
  assert.deepEqual(
    events.map(describe).filter((text) => text !== "waiting c"),
    [
      "committed",
      "waiting a,b,c",
      "waiting a,c",
      "accepted",
    ],
  );
  assert.deepEqual(fake.notified.sort(), ["a", "b", "c"]);
});

test("the wait ends when the operator goes away", async () => {
  const clock = new ManualClock();
  const fake = new FakeCatalogueMembers();
  fake.members.set("a", { version: 1 });
  const events: AcceptanceEvent[] = [];
  const disconnected = new AbortController();
  const done = collect(fake, clock, disconnected.signal, events);
  await clock.advance(1000);
  disconnected.abort();
  await done;
  assert.deepEqual(events.map(describe), ["committed", "waiting a"]);
});
