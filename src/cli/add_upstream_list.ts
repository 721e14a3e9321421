import type { Command } from "commander";
import { UpstreamsAnswer } from "../admin/upstreams_answer.ts";
import type { CliContext } from "./cli_context.ts";
import { defineQuery } from "./define_query.ts";
import { formatTable } from "./format_table.ts";
import { formatVmListNote } from "./format_vm_list_note.ts";

/**
 * Adds `upstream list`.
 *
 * @param parent - the `upstream` command
 * @param cli - output, environment and exit code
 */
export function addUpstreamList(parent: Command, cli: CliContext): void {
  defineQuery(parent, cli, {
    usage: "list",
    description: "list upstreams with their shards and dispatchers",
    example: "fescuerun upstream list",
    path: () => "/v1/upstreams",
    schema: UpstreamsAnswer,
    format: ({ vmListRead, upstreams }) =>
      formatTable(
        [
          "SERVICE",
          "REGION",
          "UPSTREAM",
          "DOMAIN",
          "STATE",
          "OUT",
          "SHARDS",
          "PINS",
          "DISPATCHER",
          "EPOCH",
        ],
        upstreams.map((upstream) => [
          upstream.service,
          upstream.region,
          upstream.id,
          upstream.failureDomain,
          upstream.state,
          upstream.out,
          upstream.shards,
          upstream.pins,
          upstream.dispatcher,
          upstream.epoch,
        ]),
      ) + formatVmListNote(vmListRead),
  });
}
