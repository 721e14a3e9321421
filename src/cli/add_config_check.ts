import type { Command } from "commander";
import { ok } from "neverthrow";
import { parseSettings } from "../settings/parse_settings.ts";
import type { CliContext } from "./cli_context.ts";
import type { CommonOptions } from "./common_options.ts";
import { defineCommand } from "./define_command.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { fromDocumentError } from "./from_document_error.ts";
import { readFile } from "./read_file.ts";
import { runAction } from "./run_action.ts";

/**
 * Adds `config check`.
 *
 * @param parent - the `config` command
 * @param cli - output and exit code
 */
export function addConfigCheck(parent: Command, cli: CliContext): void {
  defineCommand(parent, {
    usage: "check <file>",
    description: "check a settings file without starting a router",
    example: "fescuerun config check /etc/fescuerun/settings.yaml",
    remote: false,
  }).action(async (file: string, options: CommonOptions) => {
    const json = options.json === true;
    await runAction(cli, json, async () =>
      await readFile(file)
        .andThen((text) => parseSettings(file, text).mapErr(fromDocumentError))
        .andThen(({ vm, region }) => {
          cli.out(
            json
              ? JSON.stringify({ file, valid: true, vm, region })
              : `${file} is valid (VM ${vm} in region ${region})`,
          );
          return ok(EXIT_CODE.done);
        }));
  });
}
