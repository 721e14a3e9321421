// Formats the sources in the style of `deno fmt`. With --check, changes nothing,
// prints the files that are not formatted, and ends with 1 if there are any.
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { createFromBuffer } from "@dprint/formatter";

const FOLDERS = ["dev", "platform", "scripts", "src", "tests"];
const LINE_WIDTH = 80;

function findSources(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((item) => {
    const path = join(folder, item.name);
    if (item.isDirectory()) return findSources(path);
    return /\.(ts|mjs)$/.test(item.name) ? [path] : [];
  });
}

const plugin = createRequire(import.meta.url)("@dprint/typescript");
const formatter = createFromBuffer(readFileSync(plugin.getPath()));
formatter.setConfig({ lineWidth: LINE_WIDTH }, { deno: true });
const problems = formatter.getConfigDiagnostics();
if (problems.length > 0) throw new Error(JSON.stringify(problems));

const files = [
  ...readdirSync(".").filter((name) => name.endsWith(".mjs")),
  ...FOLDERS.flatMap(findSources),
];
const changed = files.filter((filePath) => {
  const fileText = readFileSync(filePath, "utf8");
  const formatted = formatter.formatText({ filePath, fileText });
  if (formatted === fileText) return false;
  if (!process.argv.includes("--check")) writeFileSync(filePath, formatted);
  return true;
});
if (process.argv.includes("--check")) {
  for (const file of changed) console.error(`not formatted: ${file}`);
  console.log(`${files.length} files checked, ${changed.length} not formatted`);
  process.exitCode = changed.length === 0 ? 0 : 1;
} else {
  console.log(`${files.length} files, ${changed.length} changed`);
}
