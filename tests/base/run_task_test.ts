import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runTask } from "../../src/base/run_task.ts";
import { ManualClock } from "../support/manual_clock.ts";
import { silentLogger } from "../support/silent_logger.ts";

describe("runTask", () => {
  // Guards against a task that ends the process, or that is never run again.
  it("starts a task again after an error, until the signal aborts", async () => {
    const clock = new ManualClock();
    const end = new AbortController();
    const errors: string[] = [];
    let runs = 0;
    const ended = runTask(
      {
        name: "feed",
        clock,
        logger: silentLogger(),
        onError: (name) => errors.push(name),
      },
      end.signal,
      () => {
        runs++;
        throw new Error("malformed");
      },
    );
    await clock.advance(1000);
    assert.ok(runs >= 2);
    // A task that always fails does not keep the processor busy.
    assert.ok(runs <= 4);
    assert.equal(errors.length, runs);
    end.abort();
    await ended;
  });

  it("ends with its task", async () => {
    const opts = {
      name: "once",
      clock: new ManualClock(),
      logger: silentLogger(),
      onError: () => assert.fail("no error was thrown"),
    };
    let runs = 0;
    await runTask(opts, new AbortController().signal, () => {
      runs++;
      return Promise.resolve();
    });
    assert.equal(runs, 1);
  });
});
