import type { Command } from "commander";
import { StatusAnswer } from "../admin/status_answer.ts";
import type { CliContext } from "./cli_context.ts";
import { defineQuery } from "./define_query.ts";
import { formatTable } from "./format_table.ts";

function formatStatus(answer: StatusAnswer): string {
  const { committedVersion, coordinators, members } = answer;
  const committed = committedVersion === null
    ? "unknown, the store cannot be read"
    : String(committedVersion);
  return [
    `router ${answer.vm} in ${answer.region}: ${answer.mode}`,
    `catalogue version in force: ${answer.catalogueVersion}`,
    `catalogue version committed: ${committed}`,
    "",
    formatTable(
      ["REGION", "COORDINATOR", "EPOCH"],
      (coordinators ?? []).map(({ region, vm, epoch }) => [region, vm, epoch]),
    ),
    "",
    formatTable(
      ["ROUTER", "REGION", "DOMAIN", "VERSION", "MODE"],
      members.map((member) => [
        member.vm,
        member.region,
        member.failureDomain,
        member.version,
        member.mode ?? "no answer",
      ]),
    ),
  ].join("\n");
}

/**
 * Adds `status`.
 *
 * @param parent - the program
 * @param cli - output, environment and exit code
 */
export function addStatus(parent: Command, cli: CliContext): void {
  defineQuery(parent, cli, {
    usage: "status",
    description: "show the state of a router, and of the others as it sees " +
      "them",
    example: "fescuerun status --admin http://10.0.0.4:8089",
    path: () => "/v1/status",
    schema: StatusAnswer,
    format: formatStatus,
  });
}
