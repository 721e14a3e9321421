import type { Command } from "commander";
import type { CliContext } from "./cli_context.ts";
import { defineOutCommand } from "./define_out_command.ts";

/**
 * Adds `vm out`.
 *
 * @param parent - the `vm` command
 * @param cli - output, environment and exit code
 */
export function addVmOut(parent: Command, cli: CliContext): void {
  defineOutCommand(parent, cli, {
    collection: "vms",
    direction: "out",
    description: "take one VM out of service, everywhere",
    example: "fescuerun vm out entry-3",
    force: "also if the VM is unknown",
  });
}
