import type { Command } from "commander";
import { DomainsAnswer } from "../admin/domains_answer.ts";
import type { CliContext } from "./cli_context.ts";
import { defineQuery } from "./define_query.ts";
import { formatTable } from "./format_table.ts";
import { formatVmListNote } from "./format_vm_list_note.ts";

/**
 * Adds `domain list`.
 *
 * @param parent - the `domain` command
 * @param cli - output, environment and exit code
 */
export function addDomainList(parent: Command, cli: CliContext): void {
  defineQuery(parent, cli, {
    usage: "list",
    description: "list failure domains with their VMs",
    example: "fescuerun domain list",
    path: () => "/v1/domains",
    schema: DomainsAnswer,
    format: ({ vmListRead, domains }) =>
      formatTable(
        ["REGION", "DOMAIN", "OUT", "ENTRY VMS", "UPSTREAM VMS"],
        domains.map(({ region, name, out, entryVms, upstreamVms }) => [
          region,
          name,
          out,
          entryVms,
          upstreamVms,
        ]),
      ) + formatVmListNote(vmListRead),
  });
}
