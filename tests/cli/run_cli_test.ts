import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { EXIT_CODE } from "../../src/cli/exit_code.ts";
import { runCli } from "../../src/cli/run_cli.ts";
import { AdminBench } from "../support/admin_bench.ts";
import { CATALOGUE_TEXT } from "../support/catalogue_text.ts";
import { serveAdmin } from "../support/serve_admin.ts";

const SETTINGS = `schema: 1
vm: entry-1
region: sierra
failureDomain: sierra-a
listen: {callers: 10.0.0.4:8080, peers: 10.0.0.4:8081}
platform:
  tableService: http://10.0.0.2:9000
  objectStore: http://10.0.0.2:9001
  vmList: http://10.0.0.2:9002
peers: {credentialFile: /run/peer}
`;

const FILES = {
  "settings.yaml": SETTINGS,
  "bad-settings.yaml": SETTINGS.replace("sierra-a", "Sierra A"),
  "catalogue.yaml": CATALOGUE_TEXT,
  "version-1.yaml": `# version 1\n# author ana\n${CATALOGUE_TEXT}`,
  "version-7.yaml": `# version 7\n${CATALOGUE_TEXT}`,
  "changed.yaml": CATALOGUE_TEXT.replace("ratePerS: 10,", "ratePerS: 20,"),
  "bad-catalogue.yaml": CATALOGUE_TEXT.replace("service: search", "service: x"),
  "credential": "ana-secret\n",
  "wrong-credential": "guess\n",
  "empty-credential": "\n",
};

let folder = "";
before(async () => {
  folder = await mkdtemp(join(tmpdir(), "fescuerun-cli-"));
  for (const [name, text] of Object.entries(FILES)) {
    await writeFile(join(folder, name), text);
  }
});
after(() => rm(folder, { recursive: true }));

type Output = { code: number; out: string; err: string };

async function run(
  args: string[],
  env: Record<string, string> = {},
): Promise<Output> {
  const out: string[] = [];
  const err: string[] = [];
  const files = args.map((arg) =>
    Object.hasOwn(FILES, arg) ? join(folder, arg) : arg
  );
  const code = await runCli(files, {
    out: (line) => out.push(line),
    err: (line) => err.push(line),
    env,
  });
  return { code, out: out.join("\n"), err: err.join("\n") };
}

/** Runs commands in order on one router; returns the output of the last. */
async function runOn(
  commands: string[],
  prepare?: (bench: AdminBench) => void,
): Promise<Output> {
  const bench = new AdminBench();
  prepare?.(bench);
  const { url, close } = await serveAdmin(bench);
  try {
    let output: Output = { code: -1, out: "", err: "" };
    for (const command of commands) {
      output = await run(command.split(" "), {
        FESCUERUN_ADMIN: url,
        FESCUERUN_CREDENTIAL_FILE: join(folder, "credential"),
      });
    }
    return output;
  } finally {
    await close();
  }
}

const local: { args: string; code: number; out?: RegExp; err?: RegExp }[] = [
  { args: "config check settings.yaml", code: 0, out: /is valid/ },
  {
    args: "config check bad-settings.yaml",
    code: 2,
    err: /bad-settings.yaml:4: failureDomain: found "Sierra A", allowed/,
  },
  { args: "config check /nonexistent/x", code: 2, err: /no such file/ },
  {
    args: "config check bad-settings.yaml --json",
    code: 2,
    err: /^\{"code":"bad_file"/,
  },
  { args: "catalogue check catalogue.yaml", code: 0, out: /entries: 3/ },
  {
    args: "catalogue check bad-catalogue.yaml",
    code: 2,
    err: /entries.search.service: found "x"/,
  },
  { args: "catalogue", code: 2 },
  { args: "no-such-command", code: 2, err: /unknown command/ },
  { args: "domain out", code: 2, err: /missing required argument/ },
  {
    args: "catalogue apply catalogue.yaml --expect x",
    code: 2,
    err: /whole number/,
  },
  { args: "assignment show k", code: 2, err: /--service/ },
  { args: "status", code: 2, err: /--credential-file/ },
  {
    args: "status --credential-file empty-credential",
    code: 2,
    err: /does not hold a credential/,
  },
  {
    args: "status --credential-file credential --admin localhost:1",
    code: 2,
    err: /has to be a URL/,
  },
  { args: "--version", code: 0, out: /^\d+\.\d+\.\d+$/ },
];

for (const { args, code, out, err } of local) {
  test(`without a router: ${args}`, async () => {
    const output = await run(args.split(" "));
    assert.equal(output.code, code, output.err);
    if (out !== undefined) assert.match(output.out, out);
    if (err !== undefined) assert.match(output.err, err);
  });
}

const APPLY = "catalogue apply catalogue.yaml";
const remote: {
  scenario: string;
  prepare?: (bench: AdminBench) => void;
  commands: string[];
  code: number;
  out?: RegExp;
  err?: RegExp;
}[] = [
  {
    scenario: "the first apply",
    commands: [APPLY],
    code: EXIT_CODE.done,
    out: /^version 1 is committed\nversion 1 is in force on every router/,
  },
  {
    scenario:
      "apply of a file as get prints it, over the version in its comment",
    commands: [APPLY, "catalogue apply version-1.yaml"],
    code: EXIT_CODE.done,
    out: /version 2 is committed/,
  },
  {
    scenario: "apply of a file that names another version in its comment",
    commands: [APPLY, "catalogue apply version-7.yaml"],
    code: EXIT_CODE.conflict,
    err: /version 1 by ana came first/,
  },
  {
    scenario: "--expect takes precedence over the comment",
    commands: [APPLY, "catalogue apply version-7.yaml --expect 1"],
    code: EXIT_CODE.done,
  },
  {
    scenario: "progress as JSON lines",
    commands: [`${APPLY} --json`],
    code: EXIT_CODE.done,
    out: /^\{"kind":"committed","version":1\}\n\{"kind":"accepted"/,
  },
  {
    scenario: "a router that does not put the version in force",
    prepare: (bench) => bench.setVersion("entry-2", 0),
    commands: [APPLY],
    code: EXIT_CODE.committedNotYetInForce,
    out: /committed, waiting for entry-2/,
    err: /is committed and stays so/,
  },
  {
    scenario: "a store outage",
    prepare: (bench) => bench.table.down = true,
    commands: [APPLY],
    code: EXIT_CODE.unavailable,
    err: /table service is unavailable/,
  },
  {
    scenario: "a wrong credential",
    commands: ["status --credential-file wrong-credential"],
    code: EXIT_CODE.refused,
    err: /credential is required/,
  },
  {
    scenario: "get before the first apply",
    commands: ["catalogue get"],
    code: EXIT_CODE.refused,
    err: /no catalogue yet/,
  },
  {
    scenario: "get prints the version as a comment for a later apply",
    commands: [APPLY, "catalogue get"],
    code: EXIT_CODE.done,
    out: /^# version 1\n# author ana, at .*\nschema: 1\n/,
  },
  {
    scenario: "diff",
    commands: [APPLY, "catalogue diff changed.yaml"],
    code: EXIT_CODE.done,
    out: /~ entries.bookings-bulk.limits.ratePerS: 10 -> 20/,
  },
  {
    scenario: "diff without difference",
    commands: [APPLY, "catalogue diff catalogue.yaml"],
    code: EXIT_CODE.done,
    out: /no difference to version 1/,
  },
  {
    scenario: "history",
    commands: [APPLY, APPLY, "catalogue history --limit 1"],
    code: EXIT_CODE.done,
    out: /^VERSION +AUTHOR +AT\n2 +ana/,
  },
  {
    scenario: "domain out",
    commands: [APPLY, "domain out sierra-a", "domain list"],
    code: EXIT_CODE.done,
    out: /sierra +sierra-a +yes +1 +1/,
  },
  {
    scenario: "domain out twice",
    commands: [APPLY, "domain out sierra-a", "domain out sierra-a"],
    code: EXIT_CODE.done,
    out: /nothing to change/,
  },
  {
    scenario: "the last domain of a region",
    commands: [APPLY, "domain out costa-a"],
    code: EXIT_CODE.refused,
    err: /last failure domain in service of costa/,
  },
  {
    scenario: "the last domain of a region with force",
    commands: [APPLY, "domain out costa-a --force", "domain in costa-a"],
    code: EXIT_CODE.done,
    out: /version 3 is in force/,
  },
  {
    scenario: "vm out",
    commands: [APPLY, "vm out up-1", "vm list"],
    code: EXIT_CODE.done,
    out: /up-1 +upstream +sierra +sierra-b +live +- +yes/,
  },
  {
    scenario: "vm in",
    commands: [APPLY, "vm out up-1", "vm in up-1"],
    code: EXIT_CODE.done,
    out: /version 3 is in force/,
  },
  {
    scenario: "upstream list without VM list",
    prepare: (bench) => bench.vms = undefined,
    commands: ["upstream list"],
    code: EXIT_CODE.done,
    out: /could not be read/,
  },
  {
    scenario: "assignment of a key",
    commands: [APPLY, "assignment show k1 --service bookings --json"],
    code: EXIT_CODE.done,
    out: /"service":"bookings","digest":"[0-9a-f]{16}","shard":\d+/,
  },
  {
    scenario: "assignment in an unknown service",
    commands: [APPLY, "assignment show k1 --service nope"],
    code: EXIT_CODE.refused,
    err: /no service nope/,
  },
  {
    scenario: "status",
    commands: [APPLY, "status"],
    code: EXIT_CODE.done,
    out: /router entry-0 in sierra: current\n.* in force: 1\n.* committed: 1/,
  },
  {
    scenario: "audit",
    commands: [APPLY, "audit --hours 1"],
    code: EXIT_CODE.done,
    out: /ana +catalogue.apply +entry-0 +0 -> 1 +committed/,
  },
];

for (const { scenario, prepare, commands, code, out, err } of remote) {
  test(`with a router: ${scenario}`, async () => {
    const output = await runOn(commands, prepare);
    assert.equal(output.code, code, `${output.out}\n${output.err}`);
    if (out !== undefined) assert.match(output.out, out);
    if (err !== undefined) assert.match(output.err, err);
  });
}

test("a router that cannot be reached has made no change", async () => {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const output = await run([
    "vm",
    "out",
    "up-1",
    "--admin",
    `http://127.0.0.1:${port}`,
    "--credential-file",
    "credential",
  ]);
  assert.equal(output.code, EXIT_CODE.unavailable);
  assert.doesNotMatch(output.err, /may have been made/);
});

const broken: {
  scenario: string;
  answer: string;
  code: number;
  err: RegExp;
}[] = [
  {
    scenario: "no answer: the change may have been made",
    answer: "",
    code: EXIT_CODE.unavailable,
    err: /may have been made/,
  },
  {
    scenario: "progress that ends before the version is in force everywhere",
    answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" +
      '23\r\n{"kind":"committed","version":9}\n\n\r\n',
    code: EXIT_CODE.committedNotYetInForce,
    err: /version 9 is committed, but the connection was lost/,
  },
  {
    scenario: "an answer that is not from a router",
    answer: "HTTP/1.1 502 Bad\r\ncontent-length: 4\r\n\r\nbusy",
    code: EXIT_CODE.unexpected,
    err: /not as expected: status 502/,
  },
];

for (const { scenario, answer, code, err } of broken) {
  test(`a change with a broken connection: ${scenario}`, async () => {
    const server = createServer((req) => {
      req.resume();
      req.on("end", () => req.socket.end(answer));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    const output = await run(["vm", "out", "up-1"], {
      FESCUERUN_ADMIN: `http://127.0.0.1:${port}`,
      FESCUERUN_CREDENTIAL_FILE: join(folder, "credential"),
    });
    await new Promise((resolve) => server.close(resolve));
    assert.equal(output.code, code, output.err);
    assert.match(output.err, err);
  });
}

test("every command has an example in its help", async () => {
  const listed = [
    "config check",
    "catalogue get",
    "catalogue check",
    "catalogue diff",
    "catalogue apply",
    "catalogue history",
    "domain out",
    "domain in",
    "domain list",
    "vm out",
    "vm in",
    "vm list",
    "upstream list",
    "assignment show",
    "status",
    "audit",
  ];
  for (const name of listed) {
    const output = await run([...name.split(" "), "--help"]);
    assert.equal(output.code, 0);
    assert.ok(output.out.includes(`Example:\n  $ fescuerun ${name}`), name);
    assert.ok(output.out.includes("--json"), name);
  }
});
