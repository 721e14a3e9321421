import type { Command } from "commander";
import type { CliContext } from "./cli_context.ts";
import type { CommonOptions } from "./common_options.ts";
import { defineCommand } from "./define_command.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { readCatalogueFile } from "./read_catalogue_file.ts";
import { runAction } from "./run_action.ts";

/**
 * Adds `catalogue check`.
 *
 * @param parent - the `catalogue` command
 * @param cli - output and exit code
 */
export function addCatalogueCheck(parent: Command, cli: CliContext): void {
  defineCommand(parent, {
    usage: "check <file>",
    description: "check a catalogue document without calling a router",
    example: "fescuerun catalogue check catalogue.yaml",
    remote: false,
  }).action(async (file: string, options: CommonOptions) => {
    const json = options.json === true;
    await runAction(
      cli,
      json,
      async () =>
        await readCatalogueFile(file).map(({ document }) => {
          const entries = Object.keys(document.entries).length;
          const services = Object.keys(document.services).length;
          cli.out(
            json
              ? JSON.stringify({ file, valid: true, entries, services })
              : `${file} is valid (entries: ${entries}, services: ${services})`,
          );
          return EXIT_CODE.done;
        }),
    );
  });
}
