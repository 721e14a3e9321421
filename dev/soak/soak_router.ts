import { writeFileSync } from "node:fs";
import { request } from "undici";
import { callerProtocol } from "../../platform/standins/caller_protocol.ts";
import { settingsText } from "../../platform/standins/settings_text.ts";
import { freePorts } from "../deployment/free_ports.ts";
import { ManagedProcess } from "../deployment/managed_process.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";

type Options = {
  name: string;
  dir: string;
  program: string;
  failureDomain: string;
  regionOf: Readonly<Record<string, string>>;
};

/** A router of a soak: its processes one after the other, and its link. */
export class SoakRouter {
  readonly #process: ManagedProcess;
  /** Number of its present process. */
  run = 0;
  /** Callers may open connections to it. */
  taking = false;

  private constructor(
    readonly port: number,
    private readonly readinessPort: number,
    /** Between the router and the store. */
    readonly storeLink: LoopbackProxy,
    args: { program: string; settingsFile: string; logFile: string },
  ) {
    this.#process = new ManagedProcess([
      args.program,
      "serve-on-platform",
      "--settings",
      args.settingsFile,
      "--log-lines",
      "2000",
    ], args.logFile);
  }

  /**
   * @param opts - its place and files
   * @param storePort - port of the store
   * @returns a router that is not started yet
   */
  static async create(opts: Options, storePort: number): Promise<SoakRouter> {
    const [callers = 0, readiness = 0, peers = 0] = await freePorts(3);
    const storeLink = new LoopbackProxy(storePort);
    const settingsFile = `${opts.dir}/${opts.name}.toml`;
    writeFileSync(
      settingsFile,
      settingsText({
        vm: opts.name,
        failureDomain: opts.failureDomain,
        regionOf: opts.regionOf,
        ports: { callers, readiness, peers },
        storeAddress: `127.0.0.1:${await storeLink.listen()}`,
      }),
    );
    return new SoakRouter(callers, readiness, storeLink, {
      program: opts.program,
      settingsFile,
      logFile: `${opts.dir}/${opts.name}.log`,
    });
  }

  /** Starts a process. */
  start(): void {
    this.run++;
    this.#process.start();
  }

  /** @param signal - signal to the present process */
  signal(signal: NodeJS.Signals): void {
    this.#process.signal(signal);
  }

  /**
   * @param signal - signal that ends the present process
   */
  async end(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    this.taking = false;
    this.signal(signal);
    await this.#process.ended();
  }

  /**
   * @returns whether it says that it can serve
   */
  async isReady(): Promise<boolean> {
    try {
      const res = await request(
        `http://127.0.0.1:${this.readinessPort}${callerProtocol.readinessPath}`,
        { headersTimeout: 1000 },
      );
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false; // not listening yet
    }
  }
}
