import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";
import { freePorts } from "../../dev/deployment/free_ports.ts";

const PORT_COUNT = 300;
const MODULE = new URL("../../dev/deployment/free_ports.ts", import.meta.url);
/** Script that prints its ports and keeps them until its input ends. */
const OTHER_PROCESS = `
  import(${JSON.stringify(MODULE.href)}).then(async ({ freePorts }) => {
    console.log(JSON.stringify(await freePorts(${PORT_COUNT})));
    process.stdin.resume();
  });
`;

test("a process never hands out a port twice", async () => {
  // Guards against a router that fails to start because another router of the
  // deployment got the same port.
  const ports: number[] = [];
  for (let index = 0; index < PORT_COUNT; index += 1) {
    ports.push(...await freePorts(1));
  }
  assert.equal(new Set(ports).size, PORT_COUNT);
});

test("two processes never hand out the same port", async (t) => {
  // Guards against a deployment that fails to start while another one runs.
  const child = spawn(process.execPath, ["--eval", OTHER_PROCESS], {
    stdio: ["pipe", "pipe", "inherit"],
  });
  t.after(() => child.kill());
  const [line] = await once(child.stdout, "data") as [Buffer];
  const others = JSON.parse(line.toString()) as number[];
  assert.equal(others.length, PORT_COUNT);
  const own = await freePorts(PORT_COUNT);
  assert.deepEqual(own.filter((port) => others.includes(port)), []);
});
