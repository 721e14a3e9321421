import type { Command } from "commander";
import { err, ok } from "neverthrow";
import { AssignmentAnswer } from "../admin/assignment_answer.ts";
import type { CliContext } from "./cli_context.ts";
import type { CommonOptions } from "./common_options.ts";
import { connect } from "./connect.ts";
import { defineCommand } from "./define_command.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { formatTable } from "./format_table.ts";
import { runAction } from "./run_action.ts";

function formatAssignment(answer: AssignmentAnswer): string {
  return formatTable(
    ["SERVICE", "SHARD", "PINNED", "REGION", "UPSTREAM", "DISPATCHER", "EPOCH"],
    [[
      answer.service,
      answer.shard,
      answer.pinned,
      answer.region,
      answer.upstream,
      answer.dispatcher,
      answer.epoch,
    ]],
  );
}

/**
 * Adds `assignment show`.
 *
 * @param parent - the `assignment` command
 * @param cli - output, environment and exit code
 */
export function addAssignmentShow(parent: Command, cli: CliContext): void {
  defineCommand(parent, {
    usage: "show <key>",
    description: "show which upstream owns a key, and its dispatcher",
    example: "fescuerun assignment show booking-17 --service bookings",
    remote: true,
  }).requiredOption("--service <name>", "service whose key it is")
    .action(async (
      key: string,
      options: CommonOptions & { service: string },
    ) => {
      const json = options.json === true;
      await runAction(cli, json, async () => {
        const client = await connect(cli, options);
        if (client.isErr()) return err(client.error);
        // Sends the key in the body, because URLs appear in logs.
        const answer = await client.value.query(
          "/v1/assignment",
          { service: options.service, key },
          AssignmentAnswer,
        );
        if (answer.isErr()) return err(answer.error);
        cli.out(
          json ? JSON.stringify(answer.value) : formatAssignment(answer.value),
        );
        return ok(EXIT_CODE.done);
      });
    });
}
