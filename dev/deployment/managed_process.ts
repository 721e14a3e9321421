import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";

const running = new Set<ChildProcess>();

function killAll(): void {
  for (const child of running) child.kill("SIGKILL");
}

// A demo, bench or test that fails, or that its runner terminates because of a
// timeout, must not leave child processes running.
process.once("exit", killAll);
process.once("SIGTERM", () => {
  killAll();
  process.kill(process.pid, "SIGTERM");
});

/**
 * A child process of a demo, bench or test that writes its output to a file. It
 * is killed when this process exits or receives SIGTERM.
 */
export class ManagedProcess {
  #child: ChildProcess | undefined;
  #ended: Promise<number | null> = Promise.resolve(null);

  /**
   * @param args - arguments of the Node.js executable
   * @param logFile - file that receives standard output and error
   */
  constructor(
    private readonly args: readonly string[],
    private readonly logFile: string,
  ) {}

  /**
   * @returns the process id, undefined while the process is not running
   */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Starts the process; it must not be running. */
  start(): void {
    const log = openSync(this.logFile, "a");
    const child = spawn(process.execPath, this.args, {
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#child = child;
    running.add(child);
    this.#ended = new Promise((resolve) => {
      child.on("exit", (code) => {
        running.delete(child);
        if (this.#child === child) this.#child = undefined;
        resolve(code);
      });
    });
  }

  /**
   * Sends a signal to the process; does nothing while it is not running.
   *
   * @param signal - signal to send
   */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /**
   * Waits until the process has ended.
   *
   * @returns the exit code, null when a signal ended the process or it has
   * never been started
   */
  ended(): Promise<number | null> {
    return this.#ended;
  }
}
