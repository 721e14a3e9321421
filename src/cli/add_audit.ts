import type { Command } from "commander";
import { AuditPage } from "../admin/audit_page.ts";
import type { CliContext } from "./cli_context.ts";
import { defineQuery } from "./define_query.ts";
import { formatTable } from "./format_table.ts";
import { parseCount } from "./parse_count.ts";
import { queryString } from "./query_string.ts";

function formatAuditPage({ rows, searchedBackTo }: AuditPage): string {
  const table = formatTable(
    ["AT", "ACTOR", "ACTION", "VM", "VERSION", "OUTCOME", "DETAILS"],
    rows.map(({ key, row }) =>
      row === null
        ? [key, null, "of a newer schema", null, null, null, null]
        : [
          row.at,
          row.actor,
          row.action,
          row.vm,
          row.fromVersion === row.toVersion
            ? row.fromVersion
            : `${row.fromVersion} -> ${row.toVersion}`,
          row.outcome,
          JSON.stringify(row.details),
        ]
    ),
  );
  return `${table}\nsearched back to ${searchedBackTo}; ` +
    `go on with --before ${searchedBackTo}`;
}

/**
 * Adds `audit`.
 *
 * @param parent - the program
 * @param cli - output, environment and exit code
 */
export function addAudit(parent: Command, cli: CliContext): void {
  defineQuery(parent, cli, {
    usage: "audit",
    description: "list changes and refused attempts, newest first",
    example: "fescuerun audit --hours 48 --limit 100",
    path: ({ before, hours, limit }) =>
      `/v1/audit${queryString({ before, hours, limit })}`,
    schema: AuditPage,
    format: formatAuditPage,
  })
    .option("--before <time>", "only rows before this time, ISO 8601")
    .option("--hours <count>", "hours to search (default 24)", parseCount)
    .option("--limit <count>", "rows to look for (default 50)", parseCount);
}
