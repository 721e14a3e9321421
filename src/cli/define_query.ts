import type { Command } from "commander";
import { err } from "neverthrow";
import type { z } from "zod";
import type { CliContext } from "./cli_context.ts";
import type { CommonOptions } from "./common_options.ts";
import { connect } from "./connect.ts";
import { defineCommand } from "./define_command.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { runAction } from "./run_action.ts";

type Query<Schema extends z.ZodType> = {
  usage: string;
  description: string;
  example: string;
  /** Path and query of the route, from the command's options. */
  path: (
    options: Readonly<Record<string, string | number | true | undefined>>,
  ) => string;
  schema: Schema;
  /** Formats the answer as text. */
  format: (answer: z.infer<Schema>) => string;
};

/**
 * Adds a command that prints the answer of one route, as text or as JSON.
 *
 * @param parent - parent command
 * @param cli - output, environment and exit code
 * @param query - the command and the route
 * @returns the new command, for further options
 */
export function defineQuery<Schema extends z.ZodType>(
  parent: Command,
  cli: CliContext,
  query: Query<Schema>,
): Command {
  return defineCommand(parent, { ...query, remote: true })
    .action(async (options: CommonOptions) => {
      const json = options.json === true;
      await runAction(cli, json, async () => {
        const client = await connect(cli, options);
        if (client.isErr()) return err(client.error);
        const path = query.path({ ...options });
        const answer = await client.value.get(path, query.schema);
        return answer.map((value) => {
          cli.out(json ? JSON.stringify(value) : query.format(value));
          return EXIT_CODE.done;
        });
      });
    });
}
