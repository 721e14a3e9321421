import { err, ok, type Result } from "neverthrow";
import { AdminClient } from "./admin_client.ts";
import type { CliContext } from "./cli_context.ts";
import type { CliFailure } from "./cli_failure.ts";
import type { CommonOptions } from "./common_options.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { readFile } from "./read_file.ts";

const DEFAULT_ADMIN_URL = "http://127.0.0.1:8089";

function usageError(message: string): CliFailure {
  return { exitCode: EXIT_CODE.usage, code: "usage", message, data: {} };
}

/**
 * Creates a client for the router that the options or the environment name.
 *
 * @param cli - environment
 * @param options - options of the command, which take precedence over the
 * environment
 * @returns the client, or the failure to print
 */
export async function connect(
  cli: CliContext,
  options: CommonOptions,
): Promise<Result<AdminClient, CliFailure>> {
  const baseUrl = options.admin ?? cli.env.FESCUERUN_ADMIN ?? DEFAULT_ADMIN_URL;
  if (!/^https?:\/\//.test(baseUrl) || !URL.canParse(baseUrl)) {
    return err(
      usageError(`--admin has to be a URL such as ${DEFAULT_ADMIN_URL}`),
    );
  }
  const file = options.credentialFile ??
    cli.env.FESCUERUN_CREDENTIAL_FILE;
  if (file === undefined) {
    return err(
      usageError("--credential-file or FESCUERUN_CREDENTIAL_FILE is required"),
    );
  }
  const text = await readFile(file);
  return text.andThen((content) => {
    const credential = content.trim();
    return /^[\x21-\x7e]+$/.test(credential)
      ? ok(new AdminClient({ baseUrl, credential }))
      : err(usageError(`${file} does not hold a credential in one line`));
  });
}
