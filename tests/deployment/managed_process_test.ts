import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";
import { waitUntil } from "../../dev/deployment/wait_until.ts";

const TIMEOUT_MS = 30_000;
const MODULE = new URL(
  "../../dev/deployment/managed_process.ts",
  import.meta.url,
);
/** Script that starts a child that never ends, and prints the child's id. */
const PARENT = `
  import(${JSON.stringify(MODULE.href)}).then(({ ManagedProcess }) => {
    const child = new ManagedProcess(
      ["--eval", "setInterval(() => undefined, 1000)"],
      "/dev/null",
    );
    child.start();
    console.log(child.pid);
    ACTION
  });
`;

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

// Guards against deployments that keep running after the process of their test
// file has ended.
for (
  const { name, action, signal } of [
    { name: "receives SIGTERM from its runner", action: "", signal: true },
    { name: "fails", action: "throw new Error('x');", signal: false },
  ]
) {
  test(`a process that ${name} leaves no child running`, async (t) => {
    const parent = spawn(
      process.execPath,
      ["--eval", PARENT.replace("ACTION", action)],
      { stdio: ["ignore", "pipe", "ignore"] },
    );
    t.after(() => parent.kill("SIGKILL"));
    const ended = once(parent, "exit");
    const [line] = await once(parent.stdout, "data") as [Buffer];
    const pid = Number(line.toString());
    assert.ok(pid > 0);
    if (signal) parent.kill("SIGTERM");
    await ended;
    await waitUntil(
      "end of the child",
      TIMEOUT_MS,
      () => Promise.resolve(!isRunning(pid)),
    );
  });
}
