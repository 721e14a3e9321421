import { type ChildProcess, spawn } from "node:child_process";
import { connect, type Socket } from "node:net";

const PROGRAM = `require("node:net").createServer(() => {})
  .listen({ port: 0, host: "127.0.0.1", backlog: 1 }, function () {
    console.log(this.address().port);
  });`;
/** More than the queue of connections that nobody accepts. */
const FILLERS = 4;

/**
 * An address where connections are neither accepted nor refused, as behind a
 * partition: a stopped process whose queue of connections is full.
 */
export class SilentListener {
  readonly #child: ChildProcess;
  readonly #fillers: Socket[] = [];
  readonly port: number;

  private constructor(child: ChildProcess, port: number) {
    this.#child = child;
    this.port = port;
  }

  static async start(): Promise<SilentListener> {
    const child = spawn(process.execPath, ["-e", PROGRAM], {
      stdio: ["ignore", "pipe", "inherit"],
      env: { ...process.env, NODE_OPTIONS: "" },
    });
    const port = await new Promise<number>((resolve) =>
      child.stdout.once("data", (text: Buffer) => resolve(Number(text)))
    );
    child.kill("SIGSTOP");
    const listener = new SilentListener(child, port);
    for (let i = 0; i < FILLERS; i++) {
      const socket = connect({ port, host: "127.0.0.1" });
      socket.on("error", () => undefined);
      listener.#fillers.push(socket);
    }
    return listener;
  }

  close(): void {
    for (const socket of this.#fillers) socket.destroy();
    this.#child.kill("SIGKILL");
  }
}
