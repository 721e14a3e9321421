import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";
import { freePorts } from "../../dev/deployment/free_ports.ts";

const COUNT = 300;
const MODULE = new URL("../../dev/deployment/free_ports.ts", import.meta.url);
/** Prints its ports and keeps them until its input ends. */
const OTHER_PROCESS = `
  import(${JSON.stringify(MODULE.href)}).then(async ({ freePorts }) => {
    console.log(JSON.stringify(await freePorts(${COUNT})));
    process.stdin.resume();
  });
`;

test("a process never gives a port out twice", async () => {
  // Guards against a router that finds its port taken by another one.
  const ports: number[] = [];
  for (let index = 0; index < COUNT; index += 1) {
    ports.push(...await freePorts(1));
  }
  assert.equal(new Set(ports).size, COUNT);
});

test("two processes never give out the same port", async (t) => {
  // Guards against a deployment that does not start beside another one.
  const child = spawn(process.execPath, ["--eval", OTHER_PROCESS], {
    stdio: ["pipe", "pipe", "inherit"],
  });
  t.after(() => child.kill());
  const [line] = await once(child.stdout, "data") as [Buffer];
  const others = JSON.parse(line.toString()) as number[];
  assert.equal(others.length, COUNT);
  const own = await freePorts(COUNT);
  assert.deepEqual(own.filter((port) => others.includes(port)), []);
});
