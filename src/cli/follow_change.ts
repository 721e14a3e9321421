import { assertNever } from "../base/assert_never.ts";
import { err, ok, type Result } from "neverthrow";
import type { ProgressEvent } from "../admin/progress_event.ts";
import type { CliContext } from "./cli_context.ts";
import type { CliFailure } from "./cli_failure.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { showNames } from "./show_names.ts";

const MS_PER_S = 1000;

function formatSeconds(ms: number): string {
  return `${(ms / MS_PER_S).toFixed(1)} s`;
}

function formatEvent(event: ProgressEvent): string {
  const version = `version ${event.version}`;
  switch (event.kind) {
    case "unchanged":
      return `nothing to change, ${version} is as asked`;
    case "committed":
      return `${version} is committed`;
    case "waiting":
    case "committed_not_yet_in_force":
      return "committed, waiting for " +
        (event.vms === undefined
          ? "the list of routers"
          : showNames(event.vms)) +
        ` (${formatSeconds(event.elapsedMs)})`;
    case "accepted":
      return `${version} is in force on every router ` +
        `(${formatSeconds(event.elapsedMs)})` +
        (event.notServing.length === 0
          ? ""
          : `; not serving: ${showNames(event.notServing)}`);
    default:
      return assertNever(event);
  }
}

/**
 * Prints the progress of a change until it is in force everywhere.
 *
 * @param cli - output
 * @param json - whether events are printed as JSON lines
 * @param events - progress events of the router
 * @returns the exit code, or the failure to print
 */
export async function followChange(
  cli: CliContext,
  json: boolean,
  events: AsyncIterable<ProgressEvent>,
): Promise<Result<number, CliFailure>> {
  let version: number | undefined;
  for await (const event of events) {
    version = event.version;
    cli.out(json ? JSON.stringify(event) : formatEvent(event));
    if (event.kind === "accepted") return ok(EXIT_CODE.done);
    if (event.kind === "committed_not_yet_in_force") {
      return err({
        exitCode: EXIT_CODE.committedNotYetInForce,
        code: event.kind,
        message: `version ${version} is committed and stays so, but is not ` +
          "yet in force on every router; see 'fescuerun status'",
        data: { version, vms: event.vms },
      });
    }
  }
  // The router answers with status 200 only after the commit, so the change is
  // committed even if no event has arrived.
  return err({
    exitCode: EXIT_CODE.committedNotYetInForce,
    code: "progress_lost",
    message:
      `${
        version === undefined ? "the change" : `version ${version}`
      } is committed, but the connection was lost before every router had it; ` +
      "see 'fescuerun status'",
    data: { version },
  });
}
