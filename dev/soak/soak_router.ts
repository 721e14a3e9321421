import { writeFileSync } from "node:fs";
import { request } from "undici";
import { callerProtocol } from "../../platform/standins/caller_protocol.ts";
import { settingsText } from "../../platform/standins/settings_text.ts";
import { freePorts } from "../deployment/free_ports.ts";
import { redirectingProgram } from "./redirecting_program.ts";
import { ManagedProcess } from "../deployment/managed_process.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";

type Options = {
  name: string;
  dir: string;
  program: string;
  failureDomain: string;
  regionOf: Readonly<Record<string, string>>;
  peersPort: number;
  /** Links that lead to other ports, by the latter. */
  links: Parameters<typeof redirectingProgram>[0];
};

/** A router of a soak: one process at a time, and its proxy to the store. */
export class SoakRouter {
  readonly #process: ManagedProcess;
  /** Number of the current process, from 1; 0 before the first start. */
  incarnation = 0;
  /** Whether callers may open connections to it. */
  acceptsCallers = false;

  private constructor(
    readonly port: number,
    private readonly readinessPort: number,
    /** Proxy between the router and the store. */
    readonly storeLink: LoopbackProxy,
    args: {
      program: string;
      settingsFile: string;
      logFile: string;
      links: Options["links"];
    },
  ) {
    this.#process = new ManagedProcess([
      "--import",
      redirectingProgram(args.links),
      args.program,
      "serve-on-platform",
      "--settings",
      args.settingsFile,
      "--log-lines",
      "2000",
    ], args.logFile);
  }

  /**
   * @param opts - name, failure domain, program, and the folder of its files
   * @param storePort - port of the store
   * @returns the router, not started
   */
  static async create(opts: Options, storePort: number): Promise<SoakRouter> {
    const [callers = 0, readiness = 0] = await freePorts(2);
    const storeLink = new LoopbackProxy(storePort);
    const settingsFile = `${opts.dir}/${opts.name}.toml`;
    writeFileSync(
      settingsFile,
      settingsText({
        vm: opts.name,
        failureDomain: opts.failureDomain,
        regionOf: opts.regionOf,
        ports: { callers, readiness, peers: opts.peersPort },
        storeAddress: `127.0.0.1:${await storeLink.listen()}`,
      }),
    );
    return new SoakRouter(callers, readiness, storeLink, {
      program: opts.program,
      links: opts.links,
      settingsFile,
      logFile: `${opts.dir}/${opts.name}.log`,
    });
  }

  /** Starts the next process. */
  start(): void {
    this.incarnation++;
    this.#process.start();
  }

  /** @param signal - signal to send to the current process */
  signal(signal: NodeJS.Signals): void {
    this.#process.signal(signal);
  }

  /**
   * Ends the current process and waits for its exit.
   *
   * @param signal - signal to send
   */
  async stop(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    this.acceptsCallers = false;
    this.signal(signal);
    await this.#process.ended();
  }

  /**
   * @returns whether its readiness endpoint answers 200
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
