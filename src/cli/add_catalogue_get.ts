import type { Command } from "commander";
import { stringify } from "yaml";
import { CatalogueAnswer } from "../admin/catalogue_answer.ts";
import type { CliContext } from "./cli_context.ts";
import { defineQuery } from "./define_query.ts";
import { parseCount } from "./parse_count.ts";

function formatCatalogue(answer: CatalogueAnswer): string {
  const { version, author, at, source, document } = answer;
  const lines = [`# version ${version}`, `# author ${author}, at ${at}`];
  if (source === "router") {
    lines.push("# as known to the router; the store could not be read");
  }
  return `${lines.join("\n")}\n${stringify(document).trimEnd()}`;
}

/**
 * Adds `catalogue get`.
 *
 * @param parent - the `catalogue` command
 * @param cli - output, environment and exit code
 */
export function addCatalogueGet(parent: Command, cli: CliContext): void {
  defineQuery(parent, cli, {
    usage: "get",
    description: "print the catalogue as YAML, with its version as comment",
    example: "fescuerun catalogue get > catalogue.yaml",
    path: ({ versionNumber }) =>
      versionNumber === undefined
        ? "/v1/catalogue"
        : `/v1/catalogue/history/${versionNumber}`,
    schema: CatalogueAnswer,
    format: formatCatalogue,
  }).option(
    "--version-number <version>",
    "an earlier version instead of the current one",
    parseCount,
  );
}
