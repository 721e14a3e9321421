import assert from "node:assert/strict";
import type { Command } from "commander";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { z } from "zod";
import { AdminCode } from "../../src/admin/admin_code.ts";
import { ADMIN_STATUS } from "../../src/admin/admin_status.ts";
import { AuditRow } from "../../src/admin/audit_row.ts";
import { METRIC_CATALOGUE } from "../../src/base/metric_catalogue.ts";
import { RefusalCode } from "../../src/base/refusal_code.ts";
import { REFUSAL_NEXT_STEP } from "../../src/base/refusal_next_step.ts";
import { REFUSAL_STATUS } from "../../src/base/refusal_status.ts";
import { EXIT_CODE } from "../../src/cli/exit_code.ts";
import { EXIT_CODE_BY_ADMIN_CODE } from "../../src/cli/exit_code_by_admin_code.ts";
import { createProgram } from "../../src/cli/program.ts";
import { Settings } from "../../src/settings/settings.ts";
import { PageTables } from "../support/page_tables.ts";

// Guards against pages that differ from the code: a setting, metric, code,
// outcome, command or option that is missing, outdated or wrong on a page.
const operations = new PageTables("OPERATIONS.md");
const design = new PageTables("design.md");

/** Compares as sorted lists, so that the error shows which entries differ. */
function assertSame(
  page: Iterable<readonly unknown[]>,
  code: Iterable<readonly unknown[]>,
): void {
  const sort = (rows: Iterable<readonly unknown[]>) =>
    [...rows].map((row) => row.join(" | ")).sort();
  assert.deepEqual(sort(page), sort(code));
}

/** Returns path and default of each setting, in the notation of the page. */
function settingsOf(schema: z.core.$ZodType, path: string): string[][] {
  if (schema instanceof z.ZodDefault) {
    const { defaultValue } = schema.def;
    const shown = typeof defaultValue === "string"
      ? defaultValue
      : JSON.stringify(defaultValue);
    const inner = schema.def.innerType;
    return [
      [path, shown],
      ...inner instanceof z.ZodArray
        ? settingsOf(inner.element, `${path}[]`)
        : [],
    ];
  }
  if (schema instanceof z.ZodPrefault) {
    return settingsOf(schema.def.innerType, path);
  }
  if (schema instanceof z.ZodOptional) return [[path, "none"]];
  if (schema instanceof z.ZodObject) {
    return Object.entries(schema.shape as Record<string, z.core.$ZodType>)
      .flatMap(([name, field]) =>
        settingsOf(field, path === "" ? name : `${path}.${name}`)
      );
  }
  return [[path, "required"]];
}

test("documented settings and defaults match the schema", () => {
  const rows = operations.firstTable("Settings");
  assertSame(
    [...rows].map(([path, [preset]]) => [path, preset]),
    settingsOf(Settings, ""),
  );
});

test("documented metrics, kinds and units match the code", () => {
  const rows = [...operations.firstTable("Metrics")].flatMap(([name, cells]) =>
    name === "refused.<code>"
      ? RefusalCode.options.map((code) => [`refused.${code}`, ...cells])
      : [[name, ...cells]]
  );
  assertSame(
    rows.map(([name, kind, unit]) => [name, kind, unit]),
    Object.entries(METRIC_CATALOGUE).map((
      [name, { kind, unit }],
    ) => [name, kind, unit]),
  );
  for (const [name, , , meaning, alarm] of rows) {
    assert.ok(meaning !== "" && alarm !== "", name);
  }
});

test("every metric of the catalogue is sent somewhere in the code", () => {
  const dir = new URL("../../src/", import.meta.url);
  const code = readdirSync(dir, { recursive: true, encoding: "utf8" })
    .filter((file) =>
      file.endsWith(".ts") && !file.endsWith("metric_catalogue.ts")
    )
    .map((file) => readFileSync(new URL(file, dir), "utf8")).join("\n");
  assert.ok(code.includes("`refused.${code}`"));
  const unsent = Object.keys(METRIC_CATALOGUE).filter((name) =>
    !name.startsWith("refused.") && !code.includes(`"${name}"`)
  );
  assert.deepEqual(unsent, []);
});

test("documented refusal codes, statuses and next steps match the code", () => {
  const expected = Object.entries(REFUSAL_STATUS);
  const rows = operations.firstTable("Refusal codes");
  assertSame([...rows].map(([code, [status]]) => [code, status]), expected);
  assertSame(
    [...rows].map(([code, cells]) => [code, cells[2]]),
    Object.entries(REFUSAL_NEXT_STEP),
  );
  for (const [code, cells] of rows) {
    assert.match(cells[1] ?? "", /^(not_run|outcome_unknown|either)$/, code);
    assert.ok(cells.length === 4 && cells.every((cell) => cell !== ""), code);
  }
  const inDesign = design.section("20. Refusal codes")
    .matchAll(/`([a-z_]+)`\s+(\d{3})/g);
  assertSame([...inDesign].map(([, code, status]) => [code, status]), expected);
});

test("documented administration codes, statuses and exit codes match", () => {
  assertSame(
    [...operations.firstTable("Codes of the administration interface")].map((
      [code, [status, exit]],
    ) => [code, status, exit]),
    AdminCode.options.map((
      code,
    ) => [code, ADMIN_STATUS[code], EXIT_CODE_BY_ADMIN_CODE[code]]),
  );
});

test("exit codes in the documentation and the help match the code", () => {
  assertSame(
    [...operations.firstTable("Exit codes")].map((
      [code, [name]],
    ) => [code, name]),
    Object.entries(EXIT_CODE).map(([name, code]) => [code, name]),
  );
  const help = createProgram({
    out: () => undefined,
    err: () => undefined,
    env: {},
    exitCode: 0,
  });
  let text = "";
  help.configureOutput({ writeOut: (part) => text += part }).outputHelp();
  const inHelp = [...text.matchAll(/^ {2}(\d) {2}\S/gm)];
  assertSame(
    inHelp.map(([, code]) => [code]),
    Object.values(EXIT_CODE).map((code) => [code]),
  );
});

test("documented outcomes of audit records match the code", () => {
  const [, outcomes = ""] = operations.section("Audit records")
    .split("| outcome |");
  assertSame(
    [...outcomes.matchAll(/^\| `(\w+)` \|/gm)].map(([, name]) => [name]),
    AuditRow.shape.outcome.options.map((name) => [name]),
  );
});

const COMMON_OPTIONS = new Set(["--json", "--admin", "--credential-file"]);

/** Returns usage and options of each command, without the common options. */
function commandsOf(command: Command, prefix: string): string[][] {
  return command.commands.flatMap((sub) => {
    const name = `${prefix}${sub.name()}`;
    if (sub.commands.length > 0) return commandsOf(sub, `${name} `);
    const args = sub.registeredArguments.map((arg) => ` <${arg.name()}>`);
    const own = sub.options.filter(({ long }) =>
      !COMMON_OPTIONS.has(long ?? "")
    );
    return [[
      name + args.join(""),
      own.map(({ flags }) => flags).sort().join(" "),
    ]];
  });
}

test("documented commands and options match the code", () => {
  const [, ...parts] = operations.section("Commands").split("\n### `");
  const page = parts.map((part) => {
    const options = /^Options: (.*?)\n\n/ms.exec(part)?.[1] ?? "";
    const flags = [...options.matchAll(/`(--[^`]+)`/g)].map(([, flag]) => flag);
    return [part.slice(0, part.indexOf("`")), flags.sort().join(" ")];
  });
  const program = createProgram({
    out: () => undefined,
    err: () => undefined,
    env: {},
    exitCode: 0,
  });
  assertSame(page, commandsOf(program, ""));
  const common = (operations.section("Commands").split("\n### `")[0] ?? "")
    .matchAll(/`(--[a-z-]+)/g);
  assertSame(
    [...new Set([...common].map(([, flag]) => flag))].map((flag) => [flag]),
    [...COMMON_OPTIONS, "--help"].map((flag) => [flag]),
  );
});
