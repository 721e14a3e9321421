import { rmSync, writeFileSync } from "node:fs";
import { LoopbackProxy } from "./loopback_proxy.ts";

type Link = {
  from: string;
  /** The target's failure domain, or `STORE`. */
  to: string;
  targetPort: number;
  proxy: LoopbackProxy;
  port: number;
  /** Exists while the link is silent. */
  silentFile: string;
};

const STORE = "store";

/** Links from each failure domain to the routers, upstreams and the store. */
export class DomainLinks {
  readonly #domains: readonly string[];
  readonly #dir: string;
  readonly #links: Link[] = [];

  /**
   * @param domains - all failure domains
   * @param dir - folder of files that tell which links are silent
   */
  constructor(domains: readonly string[], dir: string) {
    this.#domains = domains;
    this.#dir = dir;
  }

  /**
   * Opens links from each failure domain to a target.
   *
   * @param targetPort - loopback port of the target
   * @param to - failure domain of the target; the store is in none
   */
  async add(targetPort: number, to: string = STORE): Promise<void> {
    this.#links.push(
      ...await Promise.all(this.#domains.map(async (from) => {
        const proxy = new LoopbackProxy(targetPort);
        const port = await proxy.listen();
        const silentFile = `${this.#dir}/silent-${from}-${targetPort}`;
        return { from, to, targetPort, proxy, port, silentFile };
      })),
    );
  }

  /**
   * @param domain - a failure domain
   * @returns the link to each target, by the target's port
   */
  linksFrom(domain: string): Record<number, Link> {
    return Object.fromEntries(
      this.#links.filter(({ from }) => from === domain)
        .map((link) => [link.targetPort, link]),
    );
  }

  /**
   * @param domain - failure domain to partition from the others, or to reconnect
   * @param silent - whether the links between it and the others are silent from
   * now on
   * @param storeReachable - whether its links to the store stay as they are
   */
  partition(domain: string, silent: boolean, storeReachable: boolean): void {
    for (const { from, to, proxy, silentFile } of this.#links) {
      const crosses = (from === domain) !== (to === domain);
      if (!crosses || (storeReachable && to === STORE)) continue;
      proxy.setFault({ kind: silent ? "silent" : "none" });
      if (silent) writeFileSync(silentFile, "");
      else rmSync(silentFile);
    }
  }

  /** Closes all links. */
  close(): void {
    for (const { proxy } of this.#links) proxy.close();
  }
}
