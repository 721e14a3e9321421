import type { Clock } from "./clock.ts";
import type { Logger } from "./logger.ts";

type Options = {
  /** Name of the task, for the log. */
  name: string;
  clock: Clock;
  logger: Pick<Logger, "error">;
  /** @param name - name of the task that failed */
  onError: (name: string) => void;
};

/** Limits how often a task that always fails writes to the log. */
const RESTART_DELAY_MS = 500;

/**
 * Runs a task that lasts until the signal aborts, and starts it again after an
 * unexpected error, so that the error does not end the process.
 *
 * @param opts - name of the task, clock, log, and a callback for each error
 * @param signal - ends the task
 * @param run - the task; it may be started any number of times
 * @returns a promise that resolves when the task has ended; never rejects
 */
export async function runTask(
  opts: Options,
  signal: AbortSignal,
  run: (signal: AbortSignal) => Promise<void>,
): Promise<void> {
  const { name, clock, logger, onError } = opts;
  const isAborted = () => signal.aborted;
  while (!isAborted()) {
    try {
      await run(signal);
      return;
    } catch (err) {
      logger.error({ err, task: name }, "task failed; starting it again");
      onError(name);
      await clock.sleep(RESTART_DELAY_MS, signal);
    }
  }
}
