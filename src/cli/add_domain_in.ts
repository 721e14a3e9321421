import type { Command } from "commander";
import type { CliContext } from "./cli_context.ts";
import { defineOutCommand } from "./define_out_command.ts";

/**
 * Adds `domain in`.
 *
 * @param parent - the `domain` command
 * @param cli - output, environment and exit code
 */
export function addDomainIn(parent: Command, cli: CliContext): void {
  defineOutCommand(parent, cli, {
    collection: "domains",
    direction: "in",
    description: "take a failure domain into service again",
    example: "fescuerun domain in sierra-a",
  });
}
