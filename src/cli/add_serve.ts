import type { Command } from "commander";
import { createLogger } from "../base/create_logger.ts";
import { Daemon } from "../daemon/daemon.ts";
import { describeListenError } from "../settings/describe_listen_error.ts";
import { formatDocumentError } from "../settings/format_document_error.ts";
import { loadSettings } from "../settings/load_settings.ts";
import { readPeerCredential } from "../settings/read_peer_credential.ts";
import type { CliContext } from "./cli_context.ts";
import { EXIT_CODE } from "./exit_code.ts";

async function serve(file: string, cli: CliContext): Promise<void> {
  const loaded = await loadSettings(file).andThen((cfg) =>
    readPeerCredential(file, cfg).map((peerCredential) => ({
      cfg,
      peerCredential,
    }))
  );
  if (loaded.isErr()) {
    cli.err(formatDocumentError(loaded.error));
    cli.exitCode = EXIT_CODE.usage;
    return;
  }
  const { cfg, peerCredential } = loaded.value;
  const { log, vm, region } = cfg;
  const logger = createLogger({ level: log.level, vm, region });
  const stop = new AbortController();
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    process.on(name, () => stop.abort());
  }
  try {
    await new Daemon(cfg, peerCredential, logger).run(stop.signal);
  } catch (err) {
    const problem = describeListenError(cfg, err);
    if (problem === undefined) {
      logger.error({ err }, "router cannot run");
      cli.exitCode = EXIT_CODE.unexpected;
    } else {
      cli.err(formatDocumentError({ file, problems: [problem] }));
      cli.exitCode = EXIT_CODE.usage;
    }
  }
  // Exits explicitly: a socket that a caller never closes would keep the
  // process alive.
  process.exit(cli.exitCode);
}

/**
 * Adds `serve`, which runs a router until SIGTERM or SIGINT.
 *
 * @param parent - the program
 * @param cli - output and exit code
 */
export function addServe(parent: Command, cli: CliContext): void {
  parent.command("serve")
    .description("run a router until SIGTERM or SIGINT")
    .requiredOption("--config <file>", "YAML settings file")
    .addHelpText(
      "after",
      "\nExample:\n  $ fescuerun serve --config /etc/fescuerun/settings.yaml",
    )
    .action((opts: { config: string }) => serve(opts.config, cli));
}
