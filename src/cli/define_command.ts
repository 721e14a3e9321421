import type { Command } from "commander";

type Definition = {
  /** Name and arguments, e.g. `out <name>`. */
  usage: string;
  description: string;
  /** Example command line in the help text. */
  example: string;
  /** Whether the command calls a router. */
  remote: boolean;
};

/**
 * Adds a command with the options that all commands share.
 *
 * @param parent - parent command
 * @param definition - name, help and kind of the command
 * @returns the new command
 */
export function defineCommand(
  parent: Command,
  definition: Definition,
): Command {
  const command = parent.command(definition.usage)
    .description(definition.description)
    .option("--json", "print JSON")
    .addHelpText("after", `\nExample:\n  $ ${definition.example}`);
  if (definition.remote) {
    command
      .option(
        "--admin <url>",
        "administration interface of a router (environment FESCUERUN_ADMIN, " +
          "default http://127.0.0.1:8089)",
      )
      .option(
        "--credential-file <file>",
        "file with the operator's credential (environment " +
          "FESCUERUN_CREDENTIAL_FILE)",
      );
  }
  return command;
}
