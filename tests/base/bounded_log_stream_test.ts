import assert from "node:assert/strict";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { BoundedLogStream } from "../../src/base/bounded_log_stream.ts";
import { ManualClock } from "../support/manual_clock.ts";

async function writeLines(
  write: (stream: BoundedLogStream, clock: ManualClock) => Promise<void> | void,
) {
  const dir = mkdtempSync(join(tmpdir(), "log-"));
  const file = join(dir, "log");
  const fd = openSync(file, "w");
  const clock = new ManualClock();
  const dropped: number[] = [];
  const stream = new BoundedLogStream({
    clock,
    fd,
    maxLinesPerS: 10,
    onDropped: (count) => dropped.push(count),
  });
  await write(stream, clock);
  await stream.flushed();
  closeSync(fd);
  const lines = readFileSync(file, "utf8").split("\n").filter(Boolean);
  rmSync(dir, { recursive: true });
  return { lines, dropped };
}

describe("BoundedLogStream", () => {
  it("writes complete lines in order", async () => {
    const { lines } = await writeLines((stream) => {
      for (let n = 0; n < 5; n++) stream.write(`{"n":${n}}\n`);
    });
    assert.deepEqual(lines, [0, 1, 2, 3, 4].map((n) => `{"n":${n}}`));
  });

  // Guards against logs that grow without bound, and against lines dropped
  // without a count, when more lines are logged than the rate limit allows.
  it("drops lines beyond the rate limit and logs how many", async () => {
    const { lines, dropped } = await writeLines(async (stream, clock) => {
      for (let n = 0; n < 100; n++) stream.write(`{"level":30,"n":${n}}\n`);
      await clock.advance(1000);
      stream.write('{"level":30,"later":true}\n');
    });
    assert.deepEqual(dropped, [90]);
    assert.equal(lines.length, 12);
    assert.match(lines[10] ?? "", /"dropped":90/);
  });

  // Guards against lines lost without a count when the reader is slow: its pipe
  // is full, or a write accepts only a part of the buffer.
  it("continues after a full pipe and after partial writes", async () => {
    const taken: string[] = [];
    let calls = 0;
    const stream = new BoundedLogStream({
      clock: new ManualClock(),
      fd: -1,
      maxLinesPerS: 100,
      onDropped: () => undefined,
      write: (_fd, text, offset, length, _position, callback) => {
        calls++;
        if (calls % 3 === 1) {
          const err: NodeJS.ErrnoException = new Error("full");
          err.code = "EAGAIN";
          setImmediate(() => callback(err, 0));
          return;
        }
        const count = Math.min(length, 5);
        taken.push(text.subarray(offset, offset + count).toString());
        setImmediate(() => callback(null, count));
      },
    });
    for (let n = 0; n < 4; n++) stream.write(`{"n":${n}}\n`);
    await stream.flushed();
    assert.equal(
      taken.join(""),
      [0, 1, 2, 3].map((n) => `{"n":${n}}\n`).join(""),
    );
  });

  it("keeps warnings while it drops other lines", async () => {
    const { lines } = await writeLines((stream) => {
      for (let n = 0; n < 50; n++) stream.write('{"level":30}\n');
      stream.write('{"level":40,"warning":true}\n');
    });
    assert.match(lines.at(-1) ?? "", /warning/);
  });
});
