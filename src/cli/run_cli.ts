import { CommanderError } from "commander";
import type { CliContext } from "./cli_context.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { createProgram } from "./program.ts";

/**
 * Runs one command.
 *
 * @param args - arguments after the program's name
 * @param io - output and environment
 * @returns the exit code, see `EXIT_CODE`
 */
export async function runCli(
  args: readonly string[],
  io: Omit<CliContext, "exitCode">,
): Promise<number> {
  const cli: CliContext = { ...io, exitCode: EXIT_CODE.done };
  try {
    await createProgram(cli).parseAsync([...args], { from: "user" });
  } catch (thrown) {
    if (!(thrown instanceof CommanderError)) throw thrown;
    // For --help and --version, commander throws as well, with exit code 0.
    return thrown.exitCode === 0 ? EXIT_CODE.done : EXIT_CODE.usage;
  }
  return cli.exitCode;
}
