import type { Command } from "commander";
import type { CliContext } from "./cli_context.ts";
import { defineOutCommand } from "./define_out_command.ts";

/**
 * Adds `domain out`.
 *
 * @param parent - the `domain` command
 * @param cli - output, environment and exit code
 */
export function addDomainOut(parent: Command, cli: CliContext): void {
  defineOutCommand(parent, cli, {
    collection: "domains",
    direction: "out",
    description: "take a failure domain out of service, everywhere",
    example: "fescuerun domain out sierra-a",
    force: "also if it is unknown or the last one of a region",
  });
}
