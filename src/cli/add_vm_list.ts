import type { Command } from "commander";
import { VmsAnswer } from "../admin/vms_answer.ts";
import type { CliContext } from "./cli_context.ts";
import { defineQuery } from "./define_query.ts";
import { formatTable } from "./format_table.ts";
import { formatVmListNote } from "./format_vm_list_note.ts";

/**
 * Adds `vm list`.
 *
 * @param parent - the `vm` command
 * @param cli - output, environment and exit code
 */
export function addVmList(parent: Command, cli: CliContext): void {
  defineQuery(parent, cli, {
    usage: "list",
    description: "list VMs with their state",
    example: "fescuerun vm list",
    path: () => "/v1/vms",
    schema: VmsAnswer,
    format: ({ vmListRead, vms }) =>
      formatTable(
        ["VM", "KIND", "REGION", "DOMAIN", "STATE", "ROUTER", "OUT"],
        vms.map((vm) => [
          vm.id,
          vm.kind,
          vm.region,
          vm.failureDomain,
          vm.state,
          vm.member,
          vm.out ? "yes" : vm.domainOut ? "domain" : null,
        ]),
      ) + formatVmListNote(vmListRead),
  });
}
