import { type ChildProcess, spawn } from "node:child_process";
import { connect, type Socket } from "node:net";

const LISTENER_PROGRAM = `require("node:net").createServer(() => {})
  .listen({ port: 0, host: "127.0.0.1", backlog: 1 }, function () {
    console.log(this.address().port);
  });`;
/** More connections than the stopped process's accept queue holds. */
const FILLER_CONNECTIONS = 4;

/**
 * Listens on an address where connections are neither accepted nor refused, as
 * behind a network partition: a stopped process whose accept queue is full.
 */
export class SilentListener {
  readonly #child: ChildProcess;
  readonly #fillers: Socket[] = [];
  readonly port: number;

  private constructor(child: ChildProcess, port: number) {
    this.#child = child;
    this.port = port;
  }

  /** Starts the listening process, stops it and fills its accept queue. */
  static async start(): Promise<SilentListener> {
    const child = spawn(process.execPath, ["-e", LISTENER_PROGRAM], {
      stdio: ["ignore", "pipe", "inherit"],
      env: { ...process.env, NODE_OPTIONS: "" },
    });
    const port = await new Promise<number>((resolve) =>
      child.stdout.once("data", (text: Buffer) => resolve(Number(text)))
    );
    child.kill("SIGSTOP");
    const listener = new SilentListener(child, port);
    for (let i = 0; i < FILLER_CONNECTIONS; i++) {
      const socket = connect({ port, host: "127.0.0.1" });
      socket.on("error", () => undefined);
      listener.#fillers.push(socket);
    }
    return listener;
  }

  /** Closes the queued connections and kills the listening process. */
  close(): void {
    for (const socket of this.#fillers) socket.destroy();
    this.#child.kill("SIGKILL");
  }
}
