import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";

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
    // A demo or bench that fails must not leave processes behind.
    const kill = () => child.kill("SIGKILL");
    process.once("exit", kill);
    this.#ended = new Promise((resolve) => {
      child.on("exit", (code) => {
        process.off("exit", kill);
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
