import { Command } from "commander";
import { addCheckConfiguration } from "../../platform/add_check_configuration.ts";
import { addServeOnPlatform } from "../../platform/add_serve_on_platform.ts";
import { addAssignmentShow } from "./add_assignment_show.ts";
import { addAudit } from "./add_audit.ts";
import { addCatalogueApply } from "./add_catalogue_apply.ts";
import { addCatalogueCheck } from "./add_catalogue_check.ts";
import { addCatalogueDiff } from "./add_catalogue_diff.ts";
import { addCatalogueGet } from "./add_catalogue_get.ts";
import { addCatalogueHistory } from "./add_catalogue_history.ts";
import { addConfigCheck } from "./add_config_check.ts";
import { addDomainIn } from "./add_domain_in.ts";
import { addDomainList } from "./add_domain_list.ts";
import { addDomainOut } from "./add_domain_out.ts";
import { addServe } from "./add_serve.ts";
import { addStatus } from "./add_status.ts";
import { addUpstreamList } from "./add_upstream_list.ts";
import { addVmIn } from "./add_vm_in.ts";
import { addVmList } from "./add_vm_list.ts";
import { addVmOut } from "./add_vm_out.ts";
import type { CliContext } from "./cli_context.ts";

const VERSION = "0.1.0";

const EXIT_CODE_HELP = `
Exit codes:
  0  done
  1  unexpected failure
  2  wrong usage, or a file that is not valid
  3  refused
  4  conflict with another change
  5  router unreachable, or table service unavailable
  6  committed, but not yet in force on every router`;

/**
 * Builds the command line.
 *
 * @param cli - output, environment and exit code
 * @returns the program; commander's own errors are thrown as `CommanderError`
 */
export function createProgram(cli: CliContext): Command {
  const program = new Command("fescuerun")
    .description("router for servers that own keys exclusively")
    .version(VERSION)
    .exitOverride()
    .configureOutput({
      writeOut: (text) => cli.out(text.trimEnd()),
      writeErr: (text) => cli.err(text.trimEnd()),
    })
    .addHelpText("after", EXIT_CODE_HELP);

  addServe(program, cli);
  addServeOnPlatform(program, cli);
  addCheckConfiguration(program, cli);

  const config = program.command("config").description("settings files");
  addConfigCheck(config, cli);

  const catalogue = program.command("catalogue")
    .description("entries and services");
  addCatalogueGet(catalogue, cli);
  addCatalogueCheck(catalogue, cli);
  addCatalogueDiff(catalogue, cli);
  addCatalogueApply(catalogue, cli);
  addCatalogueHistory(catalogue, cli);

  const domain = program.command("domain").description("failure domains");
  addDomainOut(domain, cli);
  addDomainIn(domain, cli);
  addDomainList(domain, cli);

  const vm = program.command("vm").description("single VMs");
  addVmOut(vm, cli);
  addVmIn(vm, cli);
  addVmList(vm, cli);

  const upstream = program.command("upstream").description("upstreams");
  addUpstreamList(upstream, cli);

  const assignment = program.command("assignment")
    .description("owners of keys");
  addAssignmentShow(assignment, cli);

  addStatus(program, cli);
  addAudit(program, cli);
  return program;
}
