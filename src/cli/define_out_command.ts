import type { Command } from "commander";
import { err } from "neverthrow";
import type { CliContext } from "./cli_context.ts";
import type { CommonOptions } from "./common_options.ts";
import { connect } from "./connect.ts";
import { defineCommand } from "./define_command.ts";
import { followChange } from "./follow_change.ts";
import { runAction } from "./run_action.ts";

type OutCommand = {
  /** Path segment of the route: which kind of name is taken out or in. */
  collection: "domains" | "vms";
  direction: "out" | "in";
  description: string;
  example: string;
  /** Help text of `--force`; undefined for a command without this option. */
  force?: string;
};

/**
 * Adds a command that takes a VM or failure domain out of or into service.
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
