import type { Result } from "neverthrow";
import type { CliContext } from "./cli_context.ts";
import type { CliFailure } from "./cli_failure.ts";
import { EXIT_CODE } from "./exit_code.ts";

/**
 * Runs a command's action, prints its failure and sets the exit code.
 *
 * @param cli - output and exit code
 * @param json - whether the failure is printed as JSON
 * @param action - the action; returns the exit code, or the failure to print
 */
export async function runAction(
  cli: CliContext,
  json: boolean,
  action: () => Promise<Result<number, CliFailure>>,
): Promise<void> {
  cli.exitCode = EXIT_CODE.unexpected;
  const result = await action();
  if (result.isOk()) {
    cli.exitCode = result.value;
    return;
  }
  const { exitCode, ...shown } = result.error;
  cli.exitCode = exitCode;
  cli.err(json ? JSON.stringify(shown) : `error: ${shown.message}`);
}
