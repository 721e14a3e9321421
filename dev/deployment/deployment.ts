import { createHash, randomBytes } from "node:crypto";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { stringify } from "yaml";
import type { CatalogueDocument } from "../../src/catalogue/catalogue_document.ts";
import type { ListedVm } from "../../src/contracts/listed_vm.ts";
import { catalogueFor } from "./catalogue_for.ts";
import { control } from "./control.ts";
import { freePorts } from "./free_ports.ts";
import { ManagedProcess } from "./managed_process.ts";
import type { Preset } from "./preset.ts";
import { waitUntil } from "./wait_until.ts";

const START_TIMEOUT_MS = 30_000;
/** How much of the end of each log the error of a failed start contains. */
const LOG_TAIL_CHARS = 3_000;
const DOMAIN_LETTERS = ["a", "b", "c", "d"];
const PORTS_PER_ROUTER = 3;

type RouterProcess = {
  vm: string;
  region: string;
  failureDomain: string;
  callersUrl: string;
  peersUrl: string;
  adminUrl: string;
  process: ManagedProcess;
};

type UpstreamProcess = {
  id: string;
  service: string;
  region: string;
  failureDomain: string;
  address: string;
  process: ManagedProcess;
};

type Options = {
  preset: Preset;
  /** Applied at the start instead of the preset's catalogue. */
  catalogue?: CatalogueDocument;
  /** Names of the operators; the client runs as the first one. */
  operators?: readonly string[];
  /** Added to the settings of every router, replacing equal keys. */
  settings?: Record<string, unknown>;
  /** Added to the options of every upstream stand-in, replacing equal keys. */
  upstream?: Record<string, unknown>;
  /** Arguments of Node.js for the routers, e.g. to record a CPU profile. */
  routerNodeArgs?: string[];
  /** Seed of the upstream stand-ins; each adds its index. Default 1. */
  seed?: number;
};

/**
 * Runs a whole deployment (platform stand-in, upstream stand-ins and routers)
 * as processes on loopback, for the demo, benches and tests.
 */
export class Deployment {
  readonly dir = mkdtempSync(join(tmpdir(), "fescuerun-"));
  readonly credentialFile: string;
  readonly routers: RouterProcess[] = [];
  readonly upstreams: UpstreamProcess[] = [];
  platformUrl = "";
  readonly #operators: { name: string; sha256: string }[] = [];
  #platform: ManagedProcess | undefined;

  private constructor(private readonly options: Options) {
    const names = options.operators ?? ["operator"];
    this.credentialFile = this.credentialFileOf(names[0] ?? "");
    for (const name of names) {
      const credential = randomBytes(16).toString("hex");
      writeFileSync(this.credentialFileOf(name), credential);
      const sha256 = createHash("sha256").update(credential).digest("hex");
      this.#operators.push({ name, sha256 });
    }
    writeFileSync(
      join(this.dir, "peer-credential"),
      randomBytes(16).toString("hex"),
    );
  }

  /**
   * Starts all processes and applies the catalogue.
   *
   * @param options - the preset, and what differs from it
   * @returns the deployment once every router is ready; rejects with the end of
   * each log if it does not start
   */
  static async start(options: Options): Promise<Deployment> {
    const deployment = new Deployment(options);
    try {
      await deployment.#startAll();
      return deployment;
    } catch (err) {
      const logs = deployment.#logTails();
      await deployment.stop();
      throw new Error(`the deployment did not start\n${logs}`, { cause: err });
    }
  }

  async #startAll(): Promise<void> {
    await this.#startPlatform();
    await this.#startUpstreams();
    await this.#startRouters();
    await this.applyCatalogue(
      this.options.catalogue ?? catalogueFor(this.options.preset),
    );
    await this.routersReady();
  }

  /** The end of each log, to explain a failed start. */
  #logTails(): string {
    return readdirSync(this.dir).filter((file) => file.endsWith(".log"))
      .map((file) => {
        const text = readFileSync(join(this.dir, file), "utf8");
        return `--- ${file}\n${text.slice(-LOG_TAIL_CHARS)}`;
      }).join("\n");
  }

  /** Waits until every router is ready; rejects after 30 s. */
  async routersReady(): Promise<void> {
    await Promise.all(
      this.routers.map((router) =>
        waitUntil(`readiness of ${router.vm}`, START_TIMEOUT_MS, async () => {
          const res = await request(`${router.callersUrl}/-/ready`);
          await res.body.dump();
          return res.statusCode === 200;
        })
      ),
    );
  }

  /**
   * @param operator - name of an operator
   * @returns path of the file that holds the operator's credential
   */
  credentialFileOf(operator: string): string {
    return join(this.dir, `${operator}-credential`);
  }

  /**
   * Applies a catalogue with the client of the first operator; retries for
   * 30 s, then rejects.
   *
   * @param document - catalogue document to put in force
   */
  async applyCatalogue(document: unknown): Promise<void> {
    const file = join(this.dir, "catalogue.yaml");
    writeFileSync(file, stringify(document));
    const router = this.routers[0];
    if (router === undefined) throw new Error("the preset has no router");
    await waitUntil(`admin interface`, START_TIMEOUT_MS, async () => {
      const code = await this.client("catalogue", "apply", file);
      return code === 0;
    });
  }

  /**
   * Runs the client of the first operator against the first router.
   *
   * @param args - arguments of the client
   * @returns exit code of the client, null when a signal ended it
   */
  async client(...args: string[]): Promise<number | null> {
    const child = new ManagedProcess(
      [
        "dist/fescuerun.cjs",
        ...args,
        "--admin",
        this.routers[0]?.adminUrl ?? "",
        "--credential-file",
        this.credentialFile,
      ],
      join(this.dir, "client.log"),
    );
    child.start();
    return child.ended();
  }

  /** Kills all processes and removes the directory of the deployment. */
  async stop(): Promise<void> {
    const processes = [...this.routers, ...this.upstreams]
      .map((item) => item.process);
    if (this.#platform !== undefined) processes.push(this.#platform);
    for (const child of processes) child.signal("SIGKILL");
    await Promise.all(processes.map((child) => child.ended()));
    rmSync(this.dir, { recursive: true, force: true });
  }

  /**
   * Publishes the VM list of the upstreams and routers as they are now.
   *
   * @param leaving - ids of VMs that the list shows as leaving
   */
  async publishVms(leaving: readonly string[] = []): Promise<void> {
    const state = (id: string): ListedVm["state"] =>
      leaving.includes(id) ? "leaving" : "live";
    const vms: ListedVm[] = [
      ...this.upstreams.map((upstream) => ({
        id: upstream.id,
        kind: "upstream" as const,
        address: upstream.address,
        service: upstream.service,
        region: upstream.region,
        failureDomain: upstream.failureDomain,
        state: state(upstream.id),
      })),
      ...this.routers.map((router) => ({
        id: router.vm,
        kind: "entry" as const,
        address: router.callersUrl.replace("http://", ""),
        region: router.region,
        failureDomain: router.failureDomain,
        state: state(router.vm),
      })),
    ];
    await control(`${this.platformUrl}/control/vms`, vms);
  }

  #domains(): { region: string; failureDomain: string }[] {
    const { regions, domainsPerRegion } = this.options.preset;
    return regions.flatMap((region) =>
      DOMAIN_LETTERS.slice(0, domainsPerRegion)
        .map((letter) => ({ region, failureDomain: `${region}-${letter}` }))
    );
  }

  async #startPlatform(): Promise<void> {
    const [port = 0] = await freePorts(1);
    this.platformUrl = `http://127.0.0.1:${port}`;
    this.#platform = new ManagedProcess(
      ["dist/standins.cjs", "platform", "--port", String(port)],
      join(this.dir, "platform.log"),
    );
    this.#platform.start();
    await waitUntil("platform stand-in", START_TIMEOUT_MS, async () => {
      await control(`${this.platformUrl}/control/counts`);
      return true;
    });
  }

  async #startUpstreams(): Promise<void> {
    for (const { region, failureDomain } of this.#domains()) {
      for (const service of this.options.preset.services) {
        const ports = await freePorts(service.upstreamsPerDomain);
        for (const [index, port] of ports.entries()) {
          const id = `${service.name}-${failureDomain}-${index + 1}`;
          const options = {
            id,
            service: service.name,
            slots: service.slots,
            serviceMs: service.serviceMs,
            checksGrants: service.checksGrants,
            seed: (this.options.seed ?? 1) + this.upstreams.length,
            ...this.options.upstream,
          };
          const process = new ManagedProcess(
            [
              "dist/standins.cjs",
              "upstream",
              "--port",
              String(port),
              "--options",
              JSON.stringify(options),
            ],
            join(this.dir, `${id}.log`),
          );
          process.start();
          this.upstreams.push({
            id,
            service: service.name,
            region,
            failureDomain,
            address: `127.0.0.1:${port}`,
            process,
          });
        }
      }
    }
    await Promise.all(
      this.upstreams.map((upstream) =>
        waitUntil(upstream.id, START_TIMEOUT_MS, async () => {
          await control(`http://${upstream.address}/load`);
          return true;
        })
      ),
    );
  }

  async #startRouters(): Promise<void> {
    const count = this.options.preset.routersPerDomain;
    for (const { region, failureDomain } of this.#domains()) {
      const ports = await freePorts(count * PORTS_PER_ROUTER);
      for (let index = 0; index < count; index += 1) {
        const [callers = 0, peers = 0, admin = 0] = ports.splice(
          0,
          PORTS_PER_ROUTER,
        );
        this.#addRouter({
          vm: `entry-${failureDomain}-${index + 1}`,
          region,
          failureDomain,
          ports: { callers, peers, admin },
        });
      }
    }
    await this.publishVms();
    for (const router of this.routers) router.process.start();
  }

  #addRouter(router: {
    vm: string;
    region: string;
    failureDomain: string;
    ports: { callers: number; peers: number; admin: number };
  }): void {
    const { vm, region, failureDomain, ports } = router;
    const file = join(this.dir, `${vm}.yaml`);
    writeFileSync(
      file,
      stringify({
        schema: 1,
        vm,
        region,
        failureDomain,
        listen: {
          callers: `127.0.0.1:${ports.callers}`,
          peers: `127.0.0.1:${ports.peers}`,
          admin: `127.0.0.1:${ports.admin}`,
        },
        platform: {
          tableService: this.platformUrl,
          objectStore: this.platformUrl,
          vmList: this.platformUrl,
        },
        peers: { credentialFile: join(this.dir, "peer-credential") },
        admin: { operators: this.#operators },
        ...this.options.settings,
      }),
    );
    this.routers.push({
      vm,
      region,
      failureDomain,
      callersUrl: `http://127.0.0.1:${ports.callers}`,
      peersUrl: `http://127.0.0.1:${ports.peers}`,
      adminUrl: `http://127.0.0.1:${ports.admin}`,
      process: new ManagedProcess(
        [
          ...this.options.routerNodeArgs ?? [],
          "dist/fescuerun.cjs",
          "serve",
          "--config",
          file,
        ],
        join(this.dir, `${vm}.log`),
      ),
    });
  }
}
