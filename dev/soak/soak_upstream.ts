import { readFileSync } from "node:fs";
import { request } from "undici";
import { UpstreamEvent } from "../../platform/standins/upstream_event.ts";
import { freePorts } from "../deployment/free_ports.ts";
import { ManagedProcess } from "../deployment/managed_process.ts";
import { hostClock } from "./host_clock.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import type { SoakHistory } from "./soak_history.ts";

type Placement = { service: string; keyed: boolean; failureDomain: string };
type Options = Placement & {
  name: string;
  dir: string;
  /** Bundle of the soak, which also runs upstreams. */
  program: string;
  storePort: number;
};
/** One process of the upstream. */
type Incarnation = {
  name: string;
  logFile: string;
  endedAt: number | undefined;
};

/** An upstream of a soak: one process at a time, and its proxy to routers. */
export class SoakUpstream {
  readonly #opts: Options;
  readonly #ports: { own: number; control: number };
  readonly #incarnations: Incarnation[] = [];
  #process: ManagedProcess | undefined;
  #id: string;

  private constructor(
    opts: Options,
    /** Proxy between the routers and the upstream. */
    readonly link: LoopbackProxy,
    /** Port of that proxy. */
    readonly publicPort: number,
    ports: { own: number; control: number },
  ) {
    this.#opts = opts;
    this.#id = opts.name;
    this.#ports = ports;
  }

  /**
   * @param opts - name, service, failure domain, program, and the folder of
   * its files
   * @returns the upstream, not started
   */
  static async create(opts: Options): Promise<SoakUpstream> {
    const [own = 0, control = 0] = await freePorts(2);
    const link = new LoopbackProxy(own);
    const port = await link.listen();
    return new SoakUpstream(opts, link, port, { own, control });
  }

  /**
   * Starts the next process.
   *
   * @param sameId - whether it keeps the id of the previous process
   */
  start(sameId: boolean): void {
    const { dir, name, program, service, keyed, failureDomain } = this.#opts;
    const processNumber = this.#incarnations.length + 1;
    if (!sameId) this.#id = `${name}-${processNumber}`;
    const incarnation = {
      name: `${name} (process ${processNumber})`,
      logFile: `${dir}/${name}.${processNumber}.log`,
      endedAt: undefined,
    };
    this.#incarnations.push(incarnation);
    this.#process = new ManagedProcess([
      program,
      "upstream",
      JSON.stringify({
        id: this.#id,
        service,
        failureDomain,
        keyed,
        port: this.#ports.own,
        publicPort: this.publicPort,
        controlPort: this.#ports.control,
        storePort: this.#opts.storePort,
      }),
    ], incarnation.logFile);
    this.#process.start();
  }

  /** @param signal - signal to send to the current process */
  signal(signal: NodeJS.Signals): void {
    this.#process?.signal(signal);
  }

  /** Kills the current process and waits for its exit. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#process?.ended();
    const incarnation = this.#incarnations.at(-1);
    if (incarnation !== undefined) incarnation.endedAt ??= hostClock.now();
  }

  /** Drains the current process by SIGTERM and waits for its exit. */
  async drain(): Promise<void> {
    this.signal("SIGTERM");
    await this.#process?.ended();
    const incarnation = this.#incarnations.at(-1);
    if (incarnation !== undefined) incarnation.endedAt ??= hostClock.now();
  }

  /**
   * Replaces the faults inside the current process.
   *
   * @param faults - `lateOrdersMs`: delay of orders; `forgetsAfterMs`: idle
   * time after which a connection is reset. Outer names, sent as JSON.
   */
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
   * @returns the events of each process, read from its log
   */
  history(): SoakHistory["upstreams"] {
    return this.#incarnations.map(({ name, logFile, endedAt }) => ({
      name,
      endedAt,
      events: readFileSync(logFile, "utf8").split("\n").flatMap((line) => {
        // Skips warnings of the runtime, and a line truncated by the kill.
        if (!line.startsWith("{") || !line.endsWith("}")) return [];
        return [UpstreamEvent.parse(JSON.parse(line))];
      }),
    }));
  }
}
