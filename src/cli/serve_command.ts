import { Command } from "commander";
import { createLogger } from "../base/create_logger.ts";
import { Daemon } from "../daemon/daemon.ts";
import { formatDocumentError } from "../settings/format_document_error.ts";
import { loadSettings } from "../settings/load_settings.ts";

const EXIT_FAILED = 1;
const EXIT_BAD_FILE = 2;

async function serve(file: string): Promise<void> {
  const cfg = await loadSettings(file);
  if (cfg.isErr()) {
    console.error(formatDocumentError(cfg.error));
    process.exitCode = EXIT_BAD_FILE;
    return;
  }
  const logger = createLogger({ ...cfg.value.log, ...cfg.value });
  const stop = new AbortController();
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    process.on(name, () => stop.abort());
  }
  try {
    await new Daemon(cfg.value, logger).run(stop.signal);
  } catch (err) {
    logger.error({ err }, "router cannot run");
    process.exitCode = EXIT_FAILED;
  }
  // Sockets of callers that never close their side must not keep the process.
  process.exit();
}

/**
 * @returns the command `serve`
 */
export function serveCommand(): Command {
  return new Command("serve")
    .description("run the router until SIGTERM or SIGINT")
    .requiredOption("--config <file>", "YAML settings file")
    .addHelpText(
      "after",
      "\nExample:\n  fescuerun serve --config /etc/fescuerun/router.yaml",
    )
    .action((opts: { config: string }) => serve(opts.config));
}
