import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { request } from "undici";
import { stringify } from "yaml";
import { control } from "../../dev/deployment/control.ts";
import { Deployment } from "../../dev/deployment/deployment.ts";
import { waitUntil } from "../../dev/deployment/wait_until.ts";
import { AuditPage } from "../../src/admin/audit_page.ts";
import { CatalogueAnswer } from "../../src/admin/catalogue_answer.ts";
import { StatusAnswer } from "../../src/admin/status_answer.ts";
import { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import { EXIT_CODE } from "../../src/cli/exit_code.ts";
import { longTimeoutCatalogue } from "../support/long_timeout_catalogue.ts";
import { runClient } from "../support/run_client.ts";
import { SMALL_PRESET } from "../support/small_preset.ts";

const OPERATORS = ["ana", "ben"];

const TIMEOUT_MS = 60_000;

let deployment: Deployment;
before(async () => {
  deployment = await Deployment.start({
    preset: SMALL_PRESET,
    operators: OPERATORS,
  });
});
after(() => deployment.stop());

/** Runs the client of an operator; each operator uses a router of their own. */
function runAs(operator: string, ...args: string[]) {
  const router = deployment.routers[OPERATORS.indexOf(operator) + 1];
  return runClient({
    adminUrl: router?.adminUrl ?? "",
    credentialFile: deployment.credentialFileOf(operator),
  }, ...args);
}

async function readCatalogue() {
  const { out } = await runAs("ana", "catalogue", "get", "--json");
  const { version, document } = CatalogueAnswer.parse(JSON.parse(out));
  const { entries } = CatalogueDocument.parse(document);
  return { version, entries: Object.keys(entries) };
}

async function readAudit() {
  const { out } = await runAs("ana", "audit", "--json");
  return AuditPage.parse(JSON.parse(out)).rows.map(({ row }) => row);
}

/** Writes a catalogue file with one more entry, and returns its path. */
function fileWith(entry: string): string {
  const document = longTimeoutCatalogue(SMALL_PRESET);
  const { bookings } = document.entries;
  assert.ok(bookings);
  document.entries[entry] = {
    ...bookings,
    match: { pathPrefix: `/${entry}/` },
  };
  const file = join(deployment.dir, `${entry}.yaml`);
  writeFileSync(file, stringify(document));
  return file;
}

function setFaults(faults: object): Promise<unknown> {
  return control(`${deployment.platformUrl}/control/faults`, faults);
}

test("of two operators who change one version, one gets a conflict", async () => {
  // Guards against a lost update when two operators change the catalogue at the
  // same time, and a conflict that does not name the author of the newer
  // version.
  const { version } = await readCatalogue();
  // The delay makes both routers read the version before either writes.
  await setFaults({ delayMs: 300 });
  const results = await Promise.all(OPERATORS.map(async (operator) => ({
    operator,
    ...await runAs(
      operator,
      "catalogue",
      "apply",
      fileWith(`by-${operator}`),
      "--json",
      "--expect",
      String(version),
    ),
  })));
  await setFaults({});
  const winner = results.find(({ code }) => code === EXIT_CODE.done);
  const loser = results.find(({ code }) => code === EXIT_CODE.conflict);
  assert.ok(winner && loser, JSON.stringify(results));
  const failure = JSON.parse(loser.err) as {
    data: { version: number; author: string };
  };
  assert.equal(failure.data.version, version + 1);
  assert.equal(failure.data.author, winner.operator);

  const { entries } = await readCatalogue();
  assert.ok(entries.includes(`by-${winner.operator}`));
  assert.ok(!entries.includes(`by-${loser.operator}`));
  const audit = await readAudit();
  for (
    const [actor, outcome] of [
      [winner.operator, "committed"],
      [loser.operator, "conflict"],
    ]
  ) {
    assert.equal(
      audit.filter((row) => row?.actor === actor && row?.outcome === outcome)
        .filter((row) => row?.fromVersion === version).length,
      1,
      `${actor} ${outcome}`,
    );
  }
});

/**
 * Asks every router for its catalogue version, and sends it a request without a
 * key. Only a router that has the entry in force answers `missing_key`.
 */
function readInForce(entry: string) {
  return Promise.all(deployment.routers.map(async (router) => {
    const status = await runClient(
      { ...router, credentialFile: deployment.credentialFile },
      "status",
      "--json",
    );
    const res = await request(`${router.callersUrl}/${entry}/x`);
    const answer = await res.body.json() as { code: string };
    const { catalogueVersion } = StatusAnswer.parse(JSON.parse(status.out));
    return { version: catalogueVersion, code: answer.code };
  }));
}

test("an accepted change is in force everywhere and survives restarts", async () => {
  // Guards against a change that is reported as accepted before all routers
  // have it, and a change that only exists in the memory of the routers.
  const file = fileWith("lasting");
  const { code, out } = await runAs("ana", "catalogue", "apply", file);
  assert.equal(code, EXIT_CODE.done, out);
  const inForce = await readInForce("lasting");
  const { version } = await readCatalogue();
  const expected = deployment.routers.map(() => ({
    version,
    code: "missing_key",
  }));
  assert.deepEqual(inForce, expected);

  const processes = deployment.routers.map((router) => router.process);
  for (const child of processes) child.signal("SIGKILL");
  await Promise.all(processes.map((child) => child.ended()));
  for (const child of processes) child.start();
  await deployment.routersReady();
  assert.deepEqual(await readInForce("lasting"), expected);
});

test("a wrong credential is refused and audited", async () => {
  // Guards against changes by anyone who can connect to the administration
  // interface.
  const { version } = await readCatalogue();
  const credentialFile = join(deployment.dir, "guess");
  writeFileSync(credentialFile, "guess");
  const { adminUrl = "" } = deployment.routers[0] ?? {};
  const { code, err } = await runClient(
    { adminUrl, credentialFile },
    "catalogue",
    "apply",
    fileWith("refused"),
    "--expect",
    String(version),
  );
  assert.equal(code, EXIT_CODE.refused, err);
  assert.equal((await readCatalogue()).version, version);
  await waitUntil(
    "the audit row",
    TIMEOUT_MS,
    async () =>
      (await readAudit()).some((row) =>
        row?.actor === "unknown" && row.outcome === "refused"
      ),
  );
});

test("a change is applied once if the store's answer is lost", async () => {
  // Guards against a change that took effect, but is applied again, or reported
  // as failed or as the change of another operator.
  const { version } = await readCatalogue();
  await setFaults({ loseAnswers: 1, loseAnswersOf: "catalogue/" });
  const { code, out } = await runAs(
    "ana",
    "catalogue",
    "apply",
    fileWith("once"),
  );
  assert.equal(code, EXIT_CODE.done, out);
  assert.match(out, new RegExp(`^version ${version + 1} is committed\n`));
  const log = readFileSync(
    join(deployment.dir, `${deployment.routers[1]?.vm}.log`),
    "utf8",
  );
  assert.match(log, /"code":"catalogue_answer_lost"/, "no answer was lost");
  const { version: now, entries } = await readCatalogue();
  assert.equal(now, version + 1);
  assert.ok(entries.includes("once"));
  const rows = (await readAudit()).filter((row) =>
    row?.fromVersion === version
  );
  assert.deepEqual(rows.map((row) => row?.outcome), ["committed"]);
});
