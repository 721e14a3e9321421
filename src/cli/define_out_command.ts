import type { Command } from "commander";
import { err } from "neverthrow";
import type { CliContext } from "./cli_context.ts";
import type { CommonOptions } from "./common_options.ts";
import { connect } from "./connect.ts";
import { defineCommand } from "./define_command.ts";
import { followChange } from "./follow_change.ts";
import { runAction } from "./run_action.ts";

type OutCommand = {
  /** Part of the route that names the kind. */
  collection: "domains" | "vms";
  direction: "out" | "in";
  description: string;
  example: string;
  /** Help of `--force`; the command has no such option without it. */
  force?: string;
};

/**
 * Adds a command that takes something out or in.
 *
 * @param parent - the `domain` or `vm` command
 * @param cli - output, environment and exit code
 * @param definition - the command and its route
 */
export function defineOutCommand(
  parent: Command,
  cli: CliContext,
  definition: OutCommand,
): void {
  const { collection, direction } = definition;
  const command = defineCommand(parent, {
    ...definition,
    usage: `${direction} <name>`,
    remote: true,
  });
  if (definition.force !== undefined) {
    command.option("--force", definition.force);
  }
  command.action(
    async (name: string, options: CommonOptions & { force?: true }) => {
      const json = options.json === true;
      await runAction(cli, json, async () => {
        const client = await connect(cli, options);
        if (client.isErr()) return err(client.error);
        const events = await client.value.change(
          "POST",
          `/v1/${collection}/${encodeURIComponent(name)}/${direction}`,
          { force: options.force === true },
        );
        if (events.isErr()) return err(events.error);
        return await followChange(cli, json, events.value);
      });
    },
  );
}
