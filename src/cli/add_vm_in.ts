import type { Command } from "commander";
import type { CliContext } from "./cli_context.ts";
import { defineOutCommand } from "./define_out_command.ts";

/**
 * Adds `vm in`.
 *
 * @param parent - the `vm` command
 * @param cli - output, environment and exit code
 */
export function addVmIn(parent: Command, cli: CliContext): void {
  defineOutCommand(parent, cli, {
    collection: "vms",
    direction: "in",
    description: "take one VM into service again",
    example: "fescuerun vm in entry-3",
  });
}
