import { configRow } from "../../platform/standins/config_row.ts";
import { RowStoreServer } from "../../platform/standins/row_store_server.ts";
import { STANDIN_TABLES } from "../../platform/standins/standin_tables.ts";
import { MemoryRowStore } from "../standins/memory_row_store.ts";
import { freePorts } from "../deployment/free_ports.ts";
import { DomainLinks } from "./domain_links.ts";
import { hostClock } from "./host_clock.ts";
import { SoakRouter } from "./soak_router.ts";
import { SoakUpstream } from "./soak_upstream.ts";

type Options = { dir: string; routers: number; upstreams: number };

const REGION_OF_DOMAIN = { a1: "a", a2: "a", b1: "b" } as const;
const FAILURE_DOMAINS = Object.keys(REGION_OF_DOMAIN);
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
/** More than three heartbeats of an upstream (one per 400 ms). */
const HEARTBEAT_TIMEOUT_MS = 1500;
const EXPIRY_CHECK_INTERVAL_MS = 100;

/** Router and upstream processes of a soak; the store runs in this process. */
export class SoakDeployment {
  static readonly host = "soak.example";
  static readonly failureDomains: readonly string[] = FAILURE_DOMAINS;
  readonly #rowStore: MemoryRowStore;
  readonly #stopped = new AbortController();
  /** Version of each registry row, and when it was first seen, by key. */
  readonly #heartbeats = new Map<string, { version: number; at: number }>();
  /** Version of the newest configuration. */
  version = 0;

  private constructor(
    readonly store: RowStoreServer,
    readonly routers: readonly SoakRouter[],
    readonly upstreams: readonly SoakUpstream[],
    readonly links: DomainLinks,
    rowStore: MemoryRowStore,
  ) {
    this.#rowStore = rowStore;
  }

  /**
   * Creates all routers and upstreams, and starts the upstreams.
   *
   * @param opts - numbers of routers and upstreams, and the folder for files
   * @returns the deployment; it must be stopped
   */
  static async start(opts: Options): Promise<SoakDeployment> {
    const rowStore = new MemoryRowStore(hostClock);
    const store = await new RowStoreServer(rowStore).listen();
    const domainAt = (index: number) =>
      FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? "a1";
    const links = new DomainLinks(FAILURE_DOMAINS, opts.dir);
    await links.add(store.port);
    const storePortOf = (domain: string) =>
      links.linksFrom(domain)[store.port]?.port ?? store.port;
    const upstreams = await Promise.all(
      Array.from({ length: opts.upstreams }, async (_, index) => {
        const { name, keyed } = SERVICES[index % SERVICES.length] ?? {
          name: "status",
          keyed: false,
        };
        const failureDomain = domainAt(Math.floor(index / SERVICES.length));
        const upstream = await SoakUpstream.create({
          name: `${name}-${index}`,
          service: name,
          keyed,
          failureDomain,
          dir: opts.dir,
          program: "dist/soak.cjs",
          storePort: storePortOf(failureDomain),
        });
        await links.add(upstream.publicPort, failureDomain);
        return upstream;
      }),
    );
    const peersPorts = await freePorts(opts.routers);
    await Promise.all(
      peersPorts.map((port, index) => links.add(port, domainAt(index))),
    );
    const routers = await Promise.all(
      peersPorts.map((peersPort, index) => {
        const failureDomain = domainAt(index);
        return SoakRouter.create({
          name: `router-${index}`,
          dir: opts.dir,
          program: "dist/fescuerun.cjs",
          failureDomain,
          regionOf: REGION_OF_DOMAIN,
          peersPort,
          links: links.linksFrom(failureDomain),
        }, storePortOf(failureDomain));
      }),
    );
    const deployment = new SoakDeployment(
      store,
      routers,
      upstreams,
      links,
      rowStore,
    );
    deployment.changeConfig();
    void deployment.#removeExpiredUpstreams();
    for (const upstream of upstreams) upstream.start(true);
    return deployment;
  }

  /** Kills all processes, and closes the proxies and the store. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await Promise.all([
      ...this.routers.map((router) => router.stop("SIGKILL")),
      ...this.upstreams.map((upstream) => upstream.kill()),
    ]);
    for (const { storeLink } of this.routers) storeLink.close();
    for (const { link } of this.upstreams) link.close();
    this.links.close();
    this.store.close();
  }

  /**
   * Writes a new configuration. One of its routes exists in this version only,
   * so that a request shows whether a router uses it.
   */
  changeConfig(): void {
    this.version++;
    const { version } = this;
    this.#rowStore.put(
      STANDIN_TABLES.operators,
      STANDIN_TABLES.configKey,
      configRow({
        version,
        host: SoakDeployment.host,
        services: SERVICES,
        routes: [...ROUTES, {
          name: `only-${version}`,
          prefix: SoakDeployment.pathOfVersion(version),
          service: "status",
          idempotent: true,
        }],
      }),
    );
  }

  /**
   * @param version - version of a configuration
   * @returns a path that only this version has a route for
   */
  static pathOfVersion(version: number): string {
    return `/only-${version}/`;
  }

  /**
   * Restores the store from a copy that is taken now.
   *
   * @param drill - age of the copy when the store goes away, and for how long it
   * is away, in milliseconds
   */
  async restoreStore(
    { copyAgeMs, durationMs }: { copyAgeMs: number; durationMs: number },
  ): Promise<void> {
    const { signal } = this.#stopped;
    const copy = this.#rowStore.copy();
    await hostClock.sleep(copyAgeMs, signal);
    await this.store.restore(copy, hostClock.sleep(durationMs, signal));
    // Operators write their rows again.
    this.changeConfig();
  }

  /** Makes the store discard its change history up to now. */
  discardHistory(): void {
    this.#rowStore.forgotten = this.#rowStore.version;
    // A feed call that is already at the newest version does not notice the
    // loss, so one more change follows.
    this.changeConfig();
  }

  /** Deregisters upstreams whose heartbeat has timed out. */
  async #removeExpiredUpstreams(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const now = hostClock.now();
      for (const row of this.#rowStore.rows.values()) {
        if (row.table !== STANDIN_TABLES.registry) continue;
        const heartbeat = this.#heartbeats.get(row.key);
        if (heartbeat?.version !== row.version) {
          this.#heartbeats.set(row.key, { version: row.version, at: now });
        } else if (now - heartbeat.at > HEARTBEAT_TIMEOUT_MS) {
          this.#rowStore.drop(row.table, row.key);
        }
      }
      await hostClock.sleep(EXPIRY_CHECK_INTERVAL_MS, signal);
    }
  }
}
