import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { followTimesFor } from "../../src/rows/follow_times_for.ts";
import type { RowOrigin } from "../../src/rows/row_origin.ts";
import { TableFollower } from "../../src/rows/table_follower.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { MemoryRowStore } from "../../dev/standins/memory_row_store.ts";
import { silentLogger } from "../support/silent_logger.ts";

function createRig() {
  const clock = new ManualClock();
  const store = new MemoryRowStore(clock);
  const rows = new Map<string, string>();
  const seen = {
    snapshots: 0,
    reconnected: 0,
    origins: [] as RowOrigin[],
    /** Values that were received as changes. */
    values: [] as string[],
  };
  const end = new AbortController();
  const text = (value: Uint8Array) => Buffer.from(value).toString();
  const follower = new TableFollower({
    store,
    table: "t",
    clock,
    logger: silentLogger(),
    times: () => followTimesFor(2500),
    batchMs: () => 10,
    boundMs: 2500,
    onSnapshot: (all, origin) => {
      seen.snapshots++;
      seen.origins.push(origin);
      rows.clear();
      for (const row of all) rows.set(row.key, text(row.value));
    },
    onChanges: (changes, origin) => {
      seen.origins.push(origin);
      for (const change of changes) {
        if (change.kind === "written") {
          rows.set(change.row.key, text(change.row.value));
          seen.values.push(text(change.row.value));
        } else rows.delete(change.key);
      }
    },
    onReconnected: () => {
      seen.reconnected++;
    },
  });
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) await clock.advance(50);
  };
  return { clock, store, rows, seen, follower, end, advance };
}

describe("TableFollower", () => {
  it("reads the table, then follows its changes", async () => {
    const { store, rows, follower, end, advance } = createRig();
    store.put("t", "a", "1");
    store.put("other", "x", "9");
    assert.ok(!follower.synced);
    void follower.run(end.signal);
    await advance(100);
    assert.deepEqual([...rows], [["a", "1"]]);
    store.put("t", "a", "2");
    store.put("t", "b", "3");
    await advance(100);
    assert.deepEqual([...rows], [["a", "2"], ["b", "3"]]);
    store.drop("t", "a");
    await advance(100);
    assert.deepEqual([...rows], [["b", "3"]]);
    end.abort();
  });

  // Guards against logs that cannot tell where a late version came from.
  it("reports how changes were read and how late they may be", async () => {
    const { clock, store, seen, follower, end, advance } = createRig();
    store.put("t", "a", "1");
    void follower.run(end.signal);
    await advance(1000);
    const { ageMs } = follower;
    store.put("t", "a", "2");
    await advance(100);
    const version = follower.version ?? 0;
    follower.onRelayedChanges(
      {
        version: version + 1,
        ageMs: 300,
        changes: [{ key: "b", version: version + 1, value: "" }],
      },
      clock.now(),
    );
    assert.deepEqual(
      seen.origins.map(({ source }) => source),
      ["whole_read", "feed", "relay"],
    );
    assert.equal(seen.origins[0]?.latenessMs, Infinity);
    const lateness = seen.origins[1]?.latenessMs ?? 0;
    assert.ok(ageMs > 0 && lateness >= ageMs && lateness <= ageMs + 100);
    assert.ok((seen.origins[2]?.latenessMs ?? Infinity) <= 100);
    end.abort();
  });

  it("reports once that the table may be out of date, and for how long", async () => {
    const { store, follower, end, advance } = createRig();
    void follower.run(end.signal);
    await advance(100);
    assert.equal(follower.checkAge(), false);
    store.fault = "silent";
    // The feed call in flight still ends.
    await advance(3100 + 2600);
    assert.ok(follower.ageMs > 2500);
    assert.deepEqual([follower.checkAge(), follower.checkAge()], [true, false]);
    store.fault = "none";
    await advance(4000);
    assert.ok(follower.ageMs < 2500);
    follower.checkAge();
    store.fault = "silent";
    await advance(3100 + 2600);
    assert.equal(follower.checkAge(), true);
    end.abort();
  });

  // Guards against a VM that was suspended and takes old rows for current ones,
  // since its monotonic clock stood still.
  it("counts the time for which the process was suspended", async () => {
    const { clock, follower, end, advance } = createRig();
    void follower.run(end.signal);
    await advance(100);
    const { ageMs } = follower;
    clock.wallClockOffsetMs = 3500;
    assert.equal(follower.ageMs, ageMs + 3500);
    clock.wallClockOffsetMs = -3500;
    assert.equal(follower.ageMs, ageMs);
    end.abort();
  });

  // Guards against a relay that was suspended and answers for what it knew before.
  it("relays nothing after a suspension until the store has answered", async () => {
    const { clock, store, follower, end, advance } = createRig();
    store.put("t", "a", "1");
    void follower.run(end.signal);
    await advance(300);
    const version = follower.version ?? 0;
    assert.ok(follower.changesSince(version) !== undefined);
    clock.wallClockOffsetMs = 3500;
    assert.equal(follower.changesSince(version), undefined);
    await advance(1000);
    assert.ok(follower.changesSince(version) !== undefined);
    end.abort();
  });

  // Guards against one row of another writer that ends the feed for all others.
  it("follows further changes after its receiver has failed", async () => {
    const { store, rows, follower, end, advance } = createRig();
    const run = follower.run(end.signal);
    await advance(100);
    rows.set = () => {
      throw new Error("unexpected value");
    };
    store.put("t", "a", "odd");
    await advance(100);
    Reflect.deleteProperty(rows, "set");
    store.put("t", "b", "good");
    await advance(100);
    assert.equal(rows.get("b"), "good");
    end.abort();
    await run;
  });

  // Guards against keeping a row forever that was removed in a change which the
  // store no longer has.
  it("reads the table again when the store has dropped its history", async () => {
    const { store, rows, seen, follower, end, advance } = createRig();
    store.put("t", "a", "1");
    store.put("t", "b", "1");
    void follower.run(end.signal);
    await advance(100);
    store.fault = "down";
    store.fault = "none";
    store.drop("t", "a");
    store.forgotten = 100;
    store.put("t", "c", "1");
    await advance(500);
    assert.deepEqual([...rows.keys()], ["b", "c"]);
    assert.ok(seen.snapshots >= 2);
    end.abort();
  });

  it("continues and notifies when the store answers again", async () => {
    const { store, rows, seen, follower, end, advance } = createRig();
    store.fault = "silent";
    void follower.run(end.signal);
    await advance(5000);
    assert.ok(!follower.synced);
    store.fault = "none";
    store.put("t", "a", "1");
    await advance(3000);
    assert.deepEqual([...rows], [["a", "1"]]);
    assert.equal(seen.reconnected, 1);
    end.abort();
  });

  // Guards against a relay that was suspended without noticing it and keeps the
  // VMs of its region from reading the feed.
  for (
    const { name, knownForMs, asksStore } of [
      {
        name: "less than this VM has known for 1 s",
        knownForMs: 1000,
        asksStore: true,
      },
      {
        name: "less than this VM has known for 50 ms",
        knownForMs: 50,
        asksStore: false,
      },
    ]
  ) {
    it(`${asksStore ? "stops using" : "keeps"} a relay that knows ${name}`, async () => {
      const { store, rows, follower, end, advance } = createRig();
      store.put("t", "a", "1");
      void follower.run(end.signal);
      await advance(100);
      store.put("t", "a", "2");
      await advance(knownForMs);
      const version = follower.version;
      assert.ok(version !== undefined);
      follower.onRelayedChanges(
        { version: version - 1, ageMs: 0, changes: [] },
        0,
      );
      // The feed call in flight returns this change.
      store.put("t", "a", "3");
      await advance(100);
      store.put("t", "a", "4");
      await advance(100);
      assert.equal(rows.get("a"), asksStore ? "4" : "3");
      end.abort();
    });
  }

  for (
    const { name, quietMs, reported } of [
      { name: "reports a recent outage", quietMs: 500, reported: true },
      {
        name: "does not report an outage that ended about 10 s ago",
        quietMs: 10_000,
        reported: false,
      },
    ]
  ) {
    it(`${name} to the VMs it relays to`, async () => {
      const { store, follower, end, advance } = createRig();
      store.put("t", "a", "1");
      void follower.run(end.signal);
      await advance(100);
      store.fault = "down";
      store.put("t", "a", "2");
      await advance(4000);
      store.fault = "none";
      store.put("t", "a", "3");
      await advance(1000 + quietMs);
      store.put("t", "a", "4");
      await advance(100);
      const known = follower.changesSince(follower.version ?? 0);
      assert.ok(known !== undefined);
      assert.equal(known.regainedMs !== undefined, reported);
      end.abort();
    });
  }

  // Guards against upstreams that are kept in use (DRAIN), since a relay that was
  // cut off reports the end of its outage to a VM that has followed the store.
  it("ignores the end of an outage before its own rows were confirmed", async () => {
    const { clock, store, seen, follower, end, advance } = createRig();
    store.put("t", "a", "1");
    void follower.run(end.signal);
    await advance(3000);
    const version = follower.version ?? 0;
    const report = (regainedMs: number) =>
      follower.onRelayedChanges(
        { version, ageMs: 0, changes: [], regainedMs },
        clock.now(),
      );
    report(1500);
    assert.equal(seen.reconnected, 0);
    await advance(1000);
    report(100);
    assert.equal(seen.reconnected, 1);
    end.abort();
  });

  // Guards against rows that keep the state of before a restore of the store, as
  // its versions start again below the known ones or are assigned again.
  for (const writes of [0, 2, 5]) {
    it(`reads the table again after a restore and ${writes} writes`, async () => {
      const { store, rows, seen, follower, end, advance } = createRig();
      store.put("t", "a", "1");
      const copy = store.copy();
      void follower.run(end.signal);
      await advance(100);
      store.put("t", "a", "lost");
      store.put("t", "b", "lost");
      await advance(100);
      store.restore(copy);
      for (let n = 0; n < writes; n++) store.put("t", `c${n}`, "new");
      // The store holds a feed call for up to 550 ms.
      await advance(800);
      const expected = Array.from({ length: writes }, (_, n) => `c${n}`);
      assert.deepEqual([...rows.keys()], ["a", ...expected]);
      assert.equal(rows.get("a"), "1");
      assert.equal(seen.origins.at(-1)?.restored ?? true, true);
      assert.equal(seen.origins.at(-1)?.era, 1);
      assert.equal(seen.reconnected, 1);
      store.put("t", "a", "2");
      await advance(100);
      assert.equal(rows.get("a"), "2");
      end.abort();
    });
  }

  // Guards against rows that are lost but arrive late, and then count as newer
  // because their versions are higher.
  it("drops a late response of an earlier era", async () => {
    const { store, rows, seen, follower, end, advance } = createRig();
    store.put("t", "a", "1");
    const copy = store.copy();
    void follower.run(end.signal);
    await advance(100);
    store.restore(copy);
    store.put("t", "a", "new");
    await advance(100);
    const waitForChanges = store.waitForChanges.bind(store);
    store.waitForChanges = (query, signal) =>
      waitForChanges({ ...query, waitMs: 0 }, signal).map((read) => ({
        ...read,
        era: 0,
        version: 99,
        changes: [{
          kind: "written" as const,
          row: {
            table: "t",
            key: "a",
            version: 99,
            value: Buffer.from("late"),
          },
        }],
      }));
    await advance(1000);
    assert.equal(rows.get("a"), "new");
    store.waitForChanges = waitForChanges;
    store.put("t", "a", "newer");
    await advance(1000);
    assert.equal(rows.get("a"), "newer");
    assert.ok(!seen.values.includes("late"), "late response applied");
    end.abort();
  });
});
