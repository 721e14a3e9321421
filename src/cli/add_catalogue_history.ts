import type { Command } from "commander";
import { HistoryPage } from "../admin/history_page.ts";
import type { CliContext } from "./cli_context.ts";
import { defineQuery } from "./define_query.ts";
import { formatTable } from "./format_table.ts";
import { parseCount } from "./parse_count.ts";
import { queryString } from "./query_string.ts";

/**
 * Adds `catalogue history`.
 *
 * @param parent - the `catalogue` command
 * @param cli - output, environment and exit code
 */
export function addCatalogueHistory(parent: Command, cli: CliContext): void {
  defineQuery(parent, cli, {
    usage: "history",
    description: "list versions with author and time, newest first",
    example: "fescuerun catalogue history --limit 5",
    path: ({ before, limit }) =>
      `/v1/catalogue/history${queryString({ before, limit })}`,
    schema: HistoryPage,
    format: ({ versions }) =>
      formatTable(
        ["VERSION", "AUTHOR", "AT"],
        versions.map(({ version, author, at }) => [version, author, at]),
      ),
  })
    .option("--before <version>", "only versions before this one", parseCount)
    .option("--limit <count>", "number of versions (default 20)", parseCount);
}
