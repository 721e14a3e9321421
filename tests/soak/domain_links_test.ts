import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { it } from "node:test";
import { promisify } from "node:util";
import { DomainLinks } from "../../dev/soak/domain_links.ts";
import { redirectingProgram } from "../../dev/soak/redirecting_program.ts";
import { listenOn } from "../../dev/standins/listen_on.ts";

/**
 * Connects to ports and prints those that echo: once as many have as expected
 * and some time has passed, or after several seconds.
 */
const CALLER_PROGRAM = `
const [expected, ...ports] = process.argv.slice(1).map(Number);
const echoed = [];
const finish = () => { console.log(echoed.sort().join()); process.exit(); };
setTimeout(finish, 10000);
if (expected === 0) setTimeout(finish, 200);
for (const port of ports) {
  const socket = require("node:net").connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write("x");
  socket.on("data", () => {
    echoed.push(port);
    if (echoed.length === expected) setTimeout(finish, 200);
  });
}`;

const DOMAINS = ["a1", "b1"];
const CASES: readonly {
  name: string;
  /** Domain that is partitioned from the others. */
  domain: string;
  storeReachable: boolean;
  /** Targets that a process in a1 reaches. */
  reached: readonly string[];
}[] = [
  {
    name: "its own domain alone in a partition without the store",
    domain: "a1",
    storeReachable: false,
    reached: ["a1"],
  },
  {
    name: "its own domain and the store",
    domain: "a1",
    storeReachable: true,
    reached: ["a1", "store"],
  },
  {
    name: "its own domain and the store while the other has neither",
    domain: "b1",
    storeReachable: false,
    reached: ["a1", "store"],
  },
];

for (const { name, domain, storeReachable, reached } of CASES) {
  it(`a process reaches ${name}, and all after the partition`, async (test) => {
    const dir = mkdtempSync(join(tmpdir(), "fescuerun-domain-links-"));
    const links = new DomainLinks(DOMAINS, dir);
    const servers: Server[] = [];
    test.after(() => {
      links.close();
      for (const server of servers) server.close();
      rmSync(dir, { recursive: true });
    });
    const ports = new Map<string, number>();
    for (const target of ["a1", "b1", "store"]) {
      const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.pipe(socket);
      });
      servers.push(server);
      const port = await listenOn(server, 0);
      ports.set(target, port);
      await links.add(port, target === "store" ? undefined : target);
    }
    const program = redirectingProgram(links.linksFrom("a1"));
    const reaches = async (targets: readonly string[]) => {
      const { stdout } = await promisify(execFile)(process.execPath, [
        "--import",
        program,
        "-e",
        CALLER_PROGRAM,
        `${targets.length}`,
        ...[...ports.values()].map(String),
      ], { env: { ...process.env, NODE_OPTIONS: "" } });
      const expected = targets.map((target) => ports.get(target)).sort();
      assert.equal(stdout.trim(), expected.join());
    };
    await reaches(["a1", "b1", "store"]);
    links.partition(domain, true, storeReachable);
    await reaches(reached);
    links.partition(domain, false, storeReachable);
    await reaches(["a1", "b1", "store"]);
  });
}
