import type { Command } from "commander";
import { err, ok } from "neverthrow";
import { CatalogueAnswer } from "../admin/catalogue_answer.ts";
import type { CatalogueChange } from "../catalogue/catalogue_change.ts";
import { diffCatalogues } from "../catalogue/diff_catalogues.ts";
import { readStoredDocument } from "../catalogue/read_stored_document.ts";
import { formatPath } from "../settings/format_path.ts";
import type { CliContext } from "./cli_context.ts";
import type { CommonOptions } from "./common_options.ts";
import { connect } from "./connect.ts";
import { defineCommand } from "./define_command.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { readCatalogueFile } from "./read_catalogue_file.ts";
import { runAction } from "./run_action.ts";

function formatChange(change: CatalogueChange): string {
  const path = formatPath(change.path);
  switch (change.kind) {
    case "added":
      return `+ ${path}: ${JSON.stringify(change.after)}`;
    case "removed":
      return `- ${path}: ${JSON.stringify(change.before)}`;
    case "changed":
      return `~ ${path}: ${JSON.stringify(change.before)} -> ` +
        JSON.stringify(change.after);
  }
}

/**
 * Adds `catalogue diff`.
 *
 * @param parent - the `catalogue` command
 * @param cli - output, environment and exit code
 */
export function addCatalogueDiff(parent: Command, cli: CliContext): void {
  defineCommand(parent, {
    usage: "diff <file>",
    description: "show what applying a catalogue document would change",
    example: "fescuerun catalogue diff catalogue.yaml",
    remote: true,
  }).action(async (file: string, options: CommonOptions) => {
    const json = options.json === true;
    await runAction(cli, json, async () => {
      const read = await readCatalogueFile(file);
      if (read.isErr()) return err(read.error);
      const client = await connect(cli, options);
      if (client.isErr()) return err(client.error);
      const current = await client.value.get("/v1/catalogue", CatalogueAnswer);
      if (current.isErr()) return err(current.error);
      const { version } = current.value;
      const stored = readStoredDocument(current.value.document);
      if (!stored.success) {
        return err({
          exitCode: EXIT_CODE.unexpected,
          code: "unreadable_record",
          message: `version ${version} is of another schema`,
          data: { version },
        });
      }
      const changes = diffCatalogues(stored.data, read.value.document);
      if (json) cli.out(JSON.stringify({ version, changes }));
      else if (changes.length === 0) {
        cli.out(`no difference to version ${version}`);
      } else {
        cli.out(`changes to version ${version}:`);
        for (const change of changes) cli.out(formatChange(change));
      }
      return ok(EXIT_CODE.done);
    });
  });
}
