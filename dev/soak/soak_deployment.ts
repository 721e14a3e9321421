import { configRow } from "../../platform/standins/config_row.ts";
import { RowStoreServer } from "../../platform/standins/row_store_server.ts";
import { STANDIN_TABLES } from "../../platform/standins/standin_tables.ts";
import { MemoryRowStore } from "../standins/memory_row_store.ts";
import { computerClock } from "./computer_clock.ts";
import { SoakRouter } from "./soak_router.ts";
import { SoakUpstream } from "./soak_upstream.ts";

type Options = { dir: string; routers: number; upstreams: number };

const REGION_OF = { a1: "a", a2: "a", b1: "b" } as const;
const DOMAINS = Object.keys(REGION_OF);
const SERVICES = [
  { name: "ledger", keyed: true, maxConnections: 60 },
  { name: "status", keyed: false, maxConnections: 60 },
];
const ROUTES = [
  { name: "read", prefix: "/read/", service: "status", idempotent: true },
  { name: "write", prefix: "/write/", service: "status", idempotent: false },
  {
    name: "keyed-read",
    prefix: "/keyed-read/",
    service: "ledger",
    idempotent: true,
  },
  {
    name: "keyed-write",
    prefix: "/keyed-write/",
    service: "ledger",
    idempotent: false,
  },
];
/** Three beats of an upstream. */
const LAPSE_MS = 1500;
const LAPSE_CHECK_MS = 100;

/** The processes of a soak, with the store in this process. */
export class SoakDeployment {
  static readonly host = "soak.example";
  readonly #store: MemoryRowStore;
  readonly #end = new AbortController();
  /** When each registry row was written last, by version. */
  readonly #beats = new Map<string, { version: number; at: number }>();
  /** Version of the configuration. */
  version = 0;

  private constructor(
    readonly store: RowStoreServer,
    readonly routers: readonly SoakRouter[],
    readonly upstreams: readonly SoakUpstream[],
    memory: MemoryRowStore,
  ) {
    this.#store = memory;
  }

  /**
   * Starts all processes but the routers.
   *
   * @param opts - numbers of processes, and where their files go
   * @returns the deployment; it must be stopped
   */
  static async start(opts: Options): Promise<SoakDeployment> {
    const memory = new MemoryRowStore(computerClock);
    const store = await new RowStoreServer(memory).listen();
    const place = (index: number) => DOMAINS[index % DOMAINS.length] ?? "a1";
    const routers = await Promise.all(
      Array.from({ length: opts.routers }, (_, index) =>
        SoakRouter.create({
          name: `router-${index}`,
          dir: opts.dir,
          program: "dist/fescuerun.cjs",
          failureDomain: place(index),
          regionOf: REGION_OF,
        }, store.port)),
    );
    const upstreams = await Promise.all(
      Array.from({ length: opts.upstreams }, (_, index) => {
        const { name, keyed } = SERVICES[index % SERVICES.length] ?? {
          name: "status",
          keyed: false,
        };
        return SoakUpstream.create({
          name: `${name}-${index}`,
          service: name,
          keyed,
          failureDomain: place(Math.floor(index / SERVICES.length)),
          dir: opts.dir,
          program: "dist/soak.cjs",
          storePort: store.port,
        });
      }),
    );
    const deployment = new SoakDeployment(store, routers, upstreams, memory);
    deployment.changeConfig();
    void deployment.#dropLapsed();
    for (const upstream of upstreams) upstream.start(true);
    return deployment;
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    this.#end.abort();
    await Promise.all([
      ...this.routers.map((router) => router.end("SIGKILL")),
      ...this.upstreams.map((upstream) => upstream.kill()),
    ]);
    for (const { storeLink } of this.routers) storeLink.close();
    for (const { link } of this.upstreams) link.close();
    this.store.close();
  }

  /** Writes a configuration with a route that only it has. */
  changeConfig(): void {
    this.version++;
    const { version } = this;
    this.#store.put(
      STANDIN_TABLES.operators,
      STANDIN_TABLES.configKey,
      configRow({
        version,
        host: SoakDeployment.host,
        services: SERVICES,
        routes: [...ROUTES, {
          name: `only-${version}`,
          prefix: SoakDeployment.pathOf(version),
          service: "status",
          idempotent: true,
        }],
      }),
    );
  }

  /**
   * @param version - version of a configuration
   * @returns a path that it alone has a route for
   */
  static pathOf(version: number): string {
    return `/only-${version}/`;
  }

  /** The store forgets all changes up to now. */
  forgetHistory(): void {
    this.#store.forgotten = this.#store.version;
    // A feed call at the last version is told nothing, so one more change.
    this.changeConfig();
  }

  /** Removes upstreams that have not written for some time. */
  async #dropLapsed(): Promise<void> {
    const { signal } = this.#end;
    while (!signal.aborted) {
      const now = computerClock.now();
      for (const row of this.#store.rows.values()) {
        if (row.table !== STANDIN_TABLES.registry) continue;
        const beat = this.#beats.get(row.key);
        if (beat?.version !== row.version) {
          this.#beats.set(row.key, { version: row.version, at: now });
        } else if (now - beat.at > LAPSE_MS) {
          this.#store.drop(row.table, row.key);
        }
      }
      await computerClock.sleep(LAPSE_CHECK_MS, signal);
    }
  }
}
