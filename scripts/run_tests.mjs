// Bundles the executable and the stand-ins, which some tests start, and runs
// every test file, or those whose path contains one of the arguments. Tests
// listed in KNOWN-RED.txt may fail and are printed; any other failure fails the
// run, and so does a listed test that no longer exists, if all tests run. The
// tests in tests/exclusive/ load the machine or measure a process, and run one
// at a time after all others.
import { execFileSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join, relative, resolve, sep } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const EXCLUSIVE_DIR = resolve("tests", "exclusive") + sep;

function findTests(dir) {
  return readdirSync(dir, { withFileTypes: true }).flatMap((item) => {
    const path = join(dir, item.name);
    if (item.isDirectory()) return findTests(path);
    return item.name.endsWith("_test.ts") ? [path] : [];
  }).sort();
}

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

const knownRed = readKnownRed();
const wanted = process.argv.slice(2);
const files = findTests("tests")
  .filter((file) =>
    wanted.length === 0 || wanted.some((part) => file.includes(part))
  )
  .map((file) => resolve(file));

execFileSync(process.execPath, ["scripts/bundle.mjs"], { stdio: "inherit" });
// The test processes inherit this variable, so that they can load TypeScript.
process.env.NODE_OPTIONS = "--import tsx";
const unexpected = [];
const seen = new Set();

function testId(event) {
  return `${relative(process.cwd(), event.file ?? "")} > ${event.name}`;
}

/** Runs test files and records the tests that they contain. */
function runFiles(group, concurrency) {
  if (group.length === 0) return Promise.resolve();
  const stream = run({ files: group, concurrency, timeout: 600_000 });
  stream.on("test:pass", (event) => seen.add(testId(event)));
  stream.on("test:fail", (event) => {
    const id = testId(event);
    seen.add(id);
    // A suite fails because of a test in it, which is reported separately.
    if (event.details?.error?.failureType === "subtestsFailed") return;
    if (!knownRed.includes(id)) unexpected.push(id);
  });
  stream.compose(new spec()).pipe(process.stdout, { end: false });
  return new Promise((resolve) => stream.on("end", resolve));
}

const isExclusive = (file) => file.startsWith(EXCLUSIVE_DIR);
await runFiles(files.filter((file) => !isExclusive(file)), 5);
await runFiles(files.filter(isExclusive), 1);
process.on("exit", () => {
  for (const id of knownRed) console.log(`known red: ${id}`);
  for (const id of unexpected) console.log(`unexpected failure: ${id}`);
});
const missing = wanted.length === 0
  ? knownRed.filter((id) => !seen.has(id))
  : [];
for (const id of missing) unexpected.push(`${id} (listed, but not run)`);
if (files.length === 0) unexpected.push("no test files found");
process.exitCode = unexpected.length === 0 ? 0 : 1;
