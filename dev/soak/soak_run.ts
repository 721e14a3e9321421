import { setMaxListeners } from "node:events";
import { checkPromises } from "./check_promises.ts";
import { computerClock } from "./computer_clock.ts";
import { SoakCallers } from "./soak_callers.ts";
import { SoakDeployment } from "./soak_deployment.ts";
import type { SoakFault } from "./soak_fault.ts";
import { soakPlan } from "./soak_plan.ts";
import type { SoakHistory } from "./soak_history.ts";

type Options = {
  seed: number;
  dir: string;
  routers: number;
  upstreams: number;
  callers: number;
  /** How long faults come, in milliseconds. */
  forMs: number;
};
type Result = {
  faults: number;
  calls: number;
  answered: number;
  broken: string[];
};
type Target = { router: number; run: number; port: number };

const READY_MS = 20_000;
const POLL_MS = 100;
const PROBE_MS = 250;
/** Versions that a router may still go by. */
const PROBED_VERSIONS = 3;
/** The last fault is over, leases have run out, and all is served again. */
const RECOVERY_MS = 20_000;
const SAMPLE_KEYS = 32;
const KEYS = 65_536;
const STATUS_OK = 200;
const STATUS_NO_ROUTE = 404;

/** One run of a soak: processes, callers, faults and the check. */
export class SoakRun {
  readonly #opts: Options;
  readonly #deployment: SoakDeployment;
  readonly #callers: SoakCallers;
  readonly #probes: SoakHistory["probes"][number][] = [];
  readonly #faults: SoakHistory["faults"][number][] = [];
  readonly #stops: SoakHistory["stops"][number][] = [];
  /** Routers and upstreams that a fault has in hand. */
  readonly #taken = new Set<object>();

  private constructor(opts: Options, deployment: SoakDeployment) {
    this.#opts = opts;
    this.#deployment = deployment;
    this.#callers = new SoakCallers({
      host: SoakDeployment.host,
      targets: () => this.#targets(),
      callers: opts.callers,
      clock: computerClock,
    });
  }

  /**
   * @param opts - seed, size and length
   * @returns what was done, and a line for each promise that was broken
   */
  static async play(opts: Options): Promise<Result> {
    const deployment = await SoakDeployment.start(opts);
    try {
      return await new SoakRun(opts, deployment).#play();
    } finally {
      await deployment.stop();
    }
  }

  async #play(): Promise<Result> {
    const broken: string[] = [];
    const { routers } = this.#deployment;
    const ready = await Promise.all(
      routers.map((router) => this.#start(router)),
    );
    if (!ready.every(Boolean)) broken.push("a router does not become ready");
    const end = new AbortController();
    setMaxListeners(0, end.signal);
    const tasks = [this.#callers.run(end.signal), this.#probe(end.signal)];
    const plan = soakPlan(this.#opts.seed, {
      routers: routers.length,
      upstreams: this.#deployment.upstreams.length,
      forMs: this.#opts.forMs,
    });
    const startedAt = computerClock.now();
    const faults = plan.map(async ({ at, fault }) => {
      await computerClock.sleep(startedAt + at - computerClock.now());
      await this.#apply(fault);
    });
    await Promise.all(faults);
    broken.push(...await this.#checkRecovery());
    end.abort();
    await Promise.all(tasks);
    await this.#deployment.stop();
    const { calls } = this.#callers;
    broken.push(...checkPromises({
      calls,
      upstreams: this.#deployment.upstreams.flatMap((one) => one.record()),
      probes: this.#probes,
      faults: this.#faults,
      stops: this.#stops,
    }));
    const answered =
      calls.filter(({ end }) =>
        end.kind === "answered" && end.status === STATUS_OK
      ).length;
    return { faults: plan.length, calls: calls.length, answered, broken };
  }

  async #apply(fault: SoakFault): Promise<void> {
    const { routers, upstreams, store } = this.#deployment;
    switch (fault.kind) {
      case "router_pause":
      case "router_kill":
      case "router_stop":
      case "router_reload":
      case "store_link": {
        const router = routers[fault.router];
        if (router === undefined || this.#taken.has(router)) return;
        this.#taken.add(router);
        await this.#applyToRouter(router, fault);
        this.#taken.delete(router);
        return;
      }
      case "upstream_pause":
      case "upstream_kill":
      case "upstream_drain":
      case "upstream_link":
      case "late_orders": {
        const upstream = upstreams[fault.upstream];
        if (upstream === undefined || this.#taken.has(upstream)) return;
        this.#taken.add(upstream);
        await this.#applyToUpstream(upstream, fault);
        this.#taken.delete(upstream);
        return;
      }
      case "forgotten_connections":
        await this.#unplanned(async () => {
          const set = (forgetsAfterMs: number) =>
            Promise.all(
              upstreams.map((one) => one.setFaults({ forgetsAfterMs })),
            );
          await set(fault.afterMs);
          await computerClock.sleep(fault.forMs);
          await Promise.all(upstreams.map((one) => one.setFaults({})));
        });
        return;
      case "store":
        await this.#unplanned(async () => {
          store.fault = fault.fault;
          await computerClock.sleep(fault.forMs);
          store.fault = "none";
        });
        return;
      case "history_lost":
        this.#deployment.forgetHistory();
        return;
      case "config_change":
        this.#deployment.changeConfig();
        return;
    }
  }

  async #applyToRouter(
    router: SoakDeployment["routers"][number],
    fault: Extract<SoakFault, { router: number }>,
  ): Promise<void> {
    switch (fault.kind) {
      case "router_pause":
        await this.#unplanned(async () => {
          router.signal("SIGSTOP");
          await computerClock.sleep(fault.forMs);
          router.signal("SIGCONT");
        });
        return;
      case "router_kill":
        await this.#unplanned(async () => {
          await router.end("SIGKILL");
          await computerClock.sleep(fault.forMs);
          await this.#start(router);
        });
        return;
      case "router_stop": {
        const from = computerClock.now();
        const { run } = router;
        await router.end("SIGTERM");
        const to = computerClock.now();
        this.#stops.push({ router: fault.router, run, from, to });
        await computerClock.sleep(fault.forMs);
        await this.#start(router);
        return;
      }
      case "router_reload":
        router.signal("SIGHUP");
        return;
      case "store_link":
        await this.#unplanned(async () => {
          router.storeLink.setFault(fault.fault);
          await computerClock.sleep(fault.forMs);
          router.storeLink.setFault({ kind: "none" });
        });
        return;
    }
  }

  async #applyToUpstream(
    upstream: SoakDeployment["upstreams"][number],
    fault: Extract<SoakFault, { upstream: number }>,
  ): Promise<void> {
    switch (fault.kind) {
      case "upstream_pause":
        await this.#unplanned(async () => {
          upstream.signal("SIGSTOP");
          await computerClock.sleep(fault.forMs);
          upstream.signal("SIGCONT");
        });
        return;
      case "upstream_kill":
        await this.#unplanned(async () => {
          await upstream.kill();
          await computerClock.sleep(fault.forMs);
          upstream.start(fault.sameId);
        });
        return;
      case "upstream_drain":
        await upstream.drain();
        await computerClock.sleep(fault.forMs);
        upstream.start(false);
        return;
      case "upstream_link":
        await this.#unplanned(async () => {
          upstream.link.setFault(fault.fault);
          await computerClock.sleep(fault.forMs);
          upstream.link.setFault({ kind: "none" });
        });
        return;
      case "late_orders":
        await this.#unplanned(async () => {
          await upstream.setFaults({ lateOrdersMs: fault.lateMs });
          await computerClock.sleep(fault.forMs);
          await upstream.setFaults({});
        });
        return;
    }
  }

  /** Callers connect to a router only when it says that it is ready. */
  async #start(router: SoakDeployment["routers"][number]): Promise<boolean> {
    router.start();
    const ready = await this.#until(READY_MS, () => router.isReady());
    router.taking = true;
    return ready;
  }

  /** Notes for how long a fault lasts that callers may feel. */
  async #unplanned(apply: () => Promise<void>): Promise<void> {
    const from = computerClock.now();
    const span = { from, to: Infinity };
    this.#faults.push(span);
    await apply();
    span.to = computerClock.now();
  }

  /** Looks which configuration each router goes by. */
  async #probe(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const newest = this.#deployment.version;
      const versions = Array.from(
        { length: Math.min(PROBED_VERSIONS, newest) },
        (_, index) => newest - index,
      );
      await Promise.all(
        this.#targets().flatMap((target) =>
          versions.map((version) => this.#probeVersion(target, version))
        ),
      );
      await computerClock.sleep(PROBE_MS, signal);
    }
  }

  /** Returns whether the router goes by the version. */
  async #probeVersion(target: Target, version: number): Promise<boolean> {
    const { router, run } = target;
    const path = SoakDeployment.pathOf(version);
    const { sentAt, endedAt, end } = await this.#callers.once(target, path);
    const matched = end.kind === "answered" && end.status === STATUS_OK;
    const known = end.kind === "answered" && end.status !== STATUS_NO_ROUTE;
    // Before its first configuration a router refuses everything.
    if (matched) this.#probes.push({ router, run, version, sentAt, endedAt });
    return known && matched;
  }

  async #checkRecovery(): Promise<string[]> {
    const unserved = new Set<string>();
    await this.#until(RECOVERY_MS, async () => {
      unserved.clear();
      const step = KEYS / SAMPLE_KEYS;
      await Promise.all(
        this.#targets().map(async (target) => {
          const { version } = this.#deployment;
          if (!await this.#probeVersion(target, version)) {
            unserved.add(`configuration ${version} at router ${target.router}`);
          }
          for (let key = 0; key < KEYS; key += step) {
            const { end } = await this.#callers.once(
              target,
              "/keyed-write/x",
              key,
            );
            if (end.kind !== "answered" || end.status !== STATUS_OK) {
              unserved.add(`key ${key} at router ${target.router}`);
            }
          }
        }),
      );
      return unserved.size === 0;
    });
    return [...unserved].map((one) =>
      `not served again after ${RECOVERY_MS} ms: ${one}`
    );
  }

  #targets(): Target[] {
    return this.#deployment.routers.flatMap(({ taking, run, port }, router) =>
      taking ? [{ router, run, port }] : []
    );
  }

  async #until(ms: number, done: () => Promise<boolean>): Promise<boolean> {
    const until = computerClock.now() + ms;
    while (computerClock.now() < until) {
      if (await done()) return true;
      await computerClock.sleep(POLL_MS);
    }
    return false;
  }
}
