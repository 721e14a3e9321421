import type { Command } from "commander";
import { err, ok, type Result } from "neverthrow";
import { CatalogueAnswer } from "../admin/catalogue_answer.ts";
import type { AdminClient } from "./admin_client.ts";
import type { CliContext } from "./cli_context.ts";
import type { CliFailure } from "./cli_failure.ts";
import type { CommonOptions } from "./common_options.ts";
import { connect } from "./connect.ts";
import { defineCommand } from "./define_command.ts";
import { followChange } from "./follow_change.ts";
import { parseCount } from "./parse_count.ts";
import { readCatalogueFile } from "./read_catalogue_file.ts";
import { runAction } from "./run_action.ts";

type Options = CommonOptions & { expect?: number };

async function readVersion(
  client: AdminClient,
): Promise<Result<number, CliFailure>> {
  const current = await client.get("/v1/catalogue", CatalogueAnswer);
  return current.map(({ version }) => version).orElse((failure) =>
    failure.code === "no_catalogue" ? ok(0) : err(failure)
  );
}

/**
 * Adds `catalogue apply`.
 *
 * @param parent - the `catalogue` command
 * @param cli - output, environment and exit code
 */
export function addCatalogueApply(parent: Command, cli: CliContext): void {
  defineCommand(parent, {
    usage: "apply <file>",
    description: "replace the catalogue and wait until it is in force " +
      "everywhere",
    example: "fescuerun catalogue apply catalogue.yaml --expect 12",
    remote: true,
  }).option(
    "--expect <version>",
    "version that the file is based on, 0 for none (default: the version in " +
      "the comment of the file, otherwise the current one)",
    parseCount,
  ).action(async (file: string, options: Options) => {
    const json = options.json === true;
    await runAction(cli, json, async () => {
      const read = await readCatalogueFile(file);
      if (read.isErr()) return err(read.error);
      const client = await connect(cli, options);
      if (client.isErr()) return err(client.error);
      const { document, version } = read.value;
      const baseVersion = options.expect ?? version;
      const expected = baseVersion === undefined
        ? await readVersion(client.value)
        : ok(baseVersion);
      if (expected.isErr()) return err(expected.error);
      const events = await client.value.change("PUT", "/v1/catalogue", {
        expectedVersion: expected.value,
        document,
      });
      if (events.isErr()) return err(events.error);
      return await followChange(cli, json, events.value);
    });
  });
}
