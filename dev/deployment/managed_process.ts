import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";

const running = new Set<ChildProcess>();

function endAll(): void {
  for (const child of running) child.kill("SIGKILL");
}

// A demo, bench or test that fails, or that its runner ends because it takes
// too long, must not leave processes behind.
process.once("exit", endAll);
process.once("SIGTERM", () => {
  endAll();
  process.kill(process.pid, "SIGTERM");
});

/** A child process of the demo or the bench, with its log in a file. */
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
   * @returns the process id, or undefined while it does not run
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
   * @param signal - signal to send
   */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /**
   * @returns the exit code, null when a signal ended the process
   */
  ended(): Promise<number | null> {
    return this.#ended;
  }
}
