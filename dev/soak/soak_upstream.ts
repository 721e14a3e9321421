import { readFileSync } from "node:fs";
import { request } from "undici";
import { UpstreamEvent } from "../../platform/standins/upstream_event.ts";
import { freePorts } from "../deployment/free_ports.ts";
import { ManagedProcess } from "../deployment/managed_process.ts";
import { computerClock } from "./computer_clock.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import type { SoakHistory } from "./soak_history.ts";

type Place = { service: string; keyed: boolean; failureDomain: string };
type Options = Place & {
  name: string;
  dir: string;
  /** Bundle of the soak. */
  program: string;
  storePort: number;
};
type Life = {
  name: string;
  logFile: string;
  killedAt: number | undefined;
};

/** An upstream of a soak: its processes one after the other, and its link. */
export class SoakUpstream {
  readonly #opts: Options;
  readonly #ports: { own: number; control: number };
  readonly #publicPort: number;
  readonly #lives: Life[] = [];
  #process: ManagedProcess | undefined;
  #id: string;

  private constructor(
    opts: Options,
    /** Between the routers and the upstream. */
    readonly link: LoopbackProxy,
    ports: { own: number; control: number; public: number },
  ) {
    this.#opts = opts;
    this.#id = opts.name;
    this.#ports = ports;
    this.#publicPort = ports.public;
  }

  /**
   * @param opts - its place and files
   * @returns an upstream that is not started yet
   */
  static async create(opts: Options): Promise<SoakUpstream> {
    const [own = 0, control = 0] = await freePorts(2);
    const link = new LoopbackProxy(own);
    const port = await link.listen();
    return new SoakUpstream(opts, link, { own, control, public: port });
  }

  /**
   * Starts a process.
   *
   * @param sameId - it has the id of the last one
   */
  start(sameId: boolean): void {
    const { dir, name, program, service, keyed, failureDomain } = this.#opts;
    const number = this.#lives.length + 1;
    if (!sameId) this.#id = `${name}-${number}`;
    const life = {
      name: `${name} (process ${number})`,
      logFile: `${dir}/${name}.${number}.log`,
      killedAt: undefined,
    };
    this.#lives.push(life);
    this.#process = new ManagedProcess([
      program,
      "upstream",
      JSON.stringify({
        id: this.#id,
        service,
        failureDomain,
        keyed,
        port: this.#ports.own,
        publicPort: this.#publicPort,
        controlPort: this.#ports.control,
        storePort: this.#opts.storePort,
      }),
    ], life.logFile);
    this.#process.start();
  }

  /** @param signal - signal to the present process */
  signal(signal: NodeJS.Signals): void {
    this.#process?.signal(signal);
  }

  /** Ends the present process without notice. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#process?.ended();
    const life = this.#lives.at(-1);
    if (life !== undefined) life.killedAt ??= computerClock.now();
  }

  /** Has the present process leave in order. */
  async drain(): Promise<void> {
    this.signal("SIGTERM");
    await this.#process?.ended();
    const life = this.#lives.at(-1);
    if (life !== undefined) life.killedAt ??= computerClock.now();
  }

  /** @param faults - what goes wrong inside the upstream from now on */
  async setFaults(
    faults: { lateOrdersMs?: number; forgetsAfterMs?: number },
  ): Promise<void> {
    try {
      await request(`http://127.0.0.1:${this.#ports.control}/`, {
        method: "POST",
        body: JSON.stringify(faults),
        headersTimeout: 1000,
      });
    } catch {
      // The process is not running; the next one starts without faults.
    }
  }

  /**
   * @returns what each process has done
   */
  record(): SoakHistory["upstreams"] {
    return this.#lives.map(({ name, logFile, killedAt }) => ({
      name,
      killedAt,
      events: readFileSync(logFile, "utf8").split("\n").flatMap((line) => {
        // Warnings of the runtime, and a line that the kill has cut.
        if (!line.startsWith("{") || !line.endsWith("}")) return [];
        return [UpstreamEvent.parse(JSON.parse(line))];
      }),
    }));
  }
}
