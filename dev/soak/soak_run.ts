import { setMaxListeners } from "node:events";
import { checkGuarantees } from "./check_guarantees.ts";
import { hostClock } from "./host_clock.ts";
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
  /** Time during which faults start, in milliseconds. */
  durationMs: number;
};
type Result = {
  faults: number;
  calls: number;
  answered: number;
  failures: string[];
};
/** A router's process: the router's index, its process number and port. */
type Target = { router: number; incarnation: number; port: number };

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const PROBE_INTERVAL_MS = 250;
/** Newest versions to probe, since a router may lag behind the newest. */
const MAX_PROBED_VERSIONS = 3;
/**
 * Limit on the time after the last fault until leases have expired and every
 * router serves every sampled key under the newest configuration.
 */
const RECOVERY_TIMEOUT_MS = 20_000;
const SAMPLED_KEY_COUNT = 32;
const KEY_COUNT = 65_536;
const STATUS_OK = 200;
const STATUS_NO_ROUTE = 404;

/** Runs one soak: starts processes and callers, plays faults and checks. */
export class SoakRun {
  readonly #opts: Options;
  readonly #deployment: SoakDeployment;
  readonly #callers: SoakCallers;
  /** Probes that show that a router uses a version of the configuration. */
  readonly #hits: SoakHistory["probes"][number][] = [];
  readonly #faults: SoakHistory["faults"][number][] = [];
  readonly #stops: SoakHistory["stops"][number][] = [];
  /** Routers and upstreams under a fault; another one on them is skipped. */
  readonly #faulted = new Set<object>();

  private constructor(opts: Options, deployment: SoakDeployment) {
    this.#opts = opts;
    this.#deployment = deployment;
    this.#callers = new SoakCallers({
      host: SoakDeployment.host,
      targets: () => this.#targets(),
      callers: opts.callers,
      clock: hostClock,
    });
  }

  /**
   * Runs one soak from start to end.
   *
   * @param opts - seed, numbers of processes and duration
   * @returns counts, and a line for each broken guarantee, router that did not
   * become ready, and key or configuration that was not served after the faults
   */
  static async run(opts: Options): Promise<Result> {
    const deployment = await SoakDeployment.start(opts);
    try {
      return await new SoakRun(opts, deployment).#run();
    } finally {
      await deployment.stop();
    }
  }

  async #run(): Promise<Result> {
    const failures: string[] = [];
    const { routers } = this.#deployment;
    const ready = await Promise.all(
      routers.map((router) => this.#startRouter(router)),
    );
    if (!ready.every(Boolean)) failures.push("a router does not become ready");
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const tasks = [
      this.#callers.run(stop.signal),
      this.#probeVersions(stop.signal),
    ];
    const plan = soakPlan(this.#opts.seed, {
      routers: routers.length,
      upstreams: this.#deployment.upstreams.length,
      failureDomains: SoakDeployment.failureDomains.length,
      durationMs: this.#opts.durationMs,
    });
    const startedAt = hostClock.now();
    const faults = plan.map(async ({ atMs, fault }) => {
      await hostClock.sleep(startedAt + atMs - hostClock.now());
      await this.#applyFault(fault);
    });
    await Promise.all(faults);
    // An upstream that is full refuses requests; that is not what is checked.
    this.#callers.hotKeys = false;
    failures.push(...await this.#checkRecovery());
    stop.abort();
    await Promise.all(tasks);
    await this.#deployment.stop();
    const { calls } = this.#callers;
    failures.push(...checkGuarantees({
      calls,
      upstreams: this.#deployment.upstreams.flatMap((upstream) =>
        upstream.history()
      ),
      probes: this.#hits,
      faults: this.#faults,
      stops: this.#stops,
    }));
    const answered =
      calls.filter(({ outcome }) =>
        outcome.kind === "answered" && outcome.status === STATUS_OK
      ).length;
    return { faults: plan.length, calls: calls.length, answered, failures };
  }

  async #applyFault(fault: SoakFault): Promise<void> {
    const { routers, upstreams, links, store } = this.#deployment;
    switch (fault.kind) {
      case "router_pause":
      case "router_kill":
      case "router_stop":
      case "router_reload":
      case "store_link": {
        const router = routers[fault.router];
        if (router === undefined || this.#faulted.has(router)) return;
        this.#faulted.add(router);
        await this.#applyToRouter(router, fault);
        this.#faulted.delete(router);
        return;
      }
      case "upstream_pause":
      case "upstream_kill":
      case "upstream_drain":
      case "upstream_link":
      case "delayed_orders": {
        const upstream = upstreams[fault.upstream];
        if (upstream === undefined || this.#faulted.has(upstream)) return;
        this.#faulted.add(upstream);
        await this.#applyToUpstream(upstream, fault);
        this.#faulted.delete(upstream);
        return;
      }
      case "partition": {
        const { failureDomain, storeReachable, durationMs } = fault;
        const domain = SoakDeployment.failureDomains[failureDomain];
        if (domain === undefined) return;
        await this.#recordFault(async () => {
          links.partition(domain, true, storeReachable);
          await hostClock.sleep(durationMs);
          links.partition(domain, false, storeReachable);
        });
        return;
      }
      case "idle_connection_reset":
        await this.#recordFault(async () => {
          const set = (forgetsAfterMs: number) =>
            Promise.all(
              upstreams.map((upstream) =>
                upstream.setFaults({ forgetsAfterMs })
              ),
            );
          await set(fault.afterMs);
          await hostClock.sleep(fault.durationMs);
          await Promise.all(
            upstreams.map((upstream) => upstream.setFaults({})),
          );
        });
        return;
      case "store":
        await this.#recordFault(async () => {
          store.fault = fault.fault;
          await hostClock.sleep(fault.durationMs);
          store.fault = "none";
        });
        return;
      case "store_restore":
        await this.#recordFault(() => this.#deployment.restoreStore(fault));
        return;
      case "history_lost":
        this.#deployment.discardHistory();
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
        await this.#recordFault(async () => {
          router.signal("SIGSTOP");
          await hostClock.sleep(fault.durationMs);
          router.signal("SIGCONT");
        });
        return;
      case "router_kill":
        await this.#recordFault(async () => {
          await router.stop("SIGKILL");
          await hostClock.sleep(fault.durationMs);
          await this.#startRouter(router);
        });
        return;
      case "router_stop": {
        const from = hostClock.now();
        const { incarnation } = router;
        await router.stop("SIGTERM");
        const to = hostClock.now();
        this.#stops.push({ router: fault.router, incarnation, from, to });
        await hostClock.sleep(fault.durationMs);
        await this.#startRouter(router);
        return;
      }
      case "router_reload":
        router.signal("SIGHUP");
        return;
      case "store_link":
        await this.#recordFault(async () => {
          router.storeLink.setFault(fault.fault);
          await hostClock.sleep(fault.durationMs);
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
        await this.#recordFault(async () => {
          upstream.signal("SIGSTOP");
          await hostClock.sleep(fault.durationMs);
          upstream.signal("SIGCONT");
        });
        return;
      case "upstream_kill":
        await this.#recordFault(async () => {
          await upstream.kill();
          await hostClock.sleep(fault.durationMs);
          upstream.start(fault.sameId);
        });
        return;
      case "upstream_drain":
        await upstream.drain();
        await hostClock.sleep(fault.durationMs);
        upstream.start(false);
        return;
      case "upstream_link":
        await this.#recordFault(async () => {
          upstream.link.setFault(fault.fault);
          await hostClock.sleep(fault.durationMs);
          upstream.link.setFault({ kind: "none" });
        });
        return;
      case "delayed_orders":
        await this.#recordFault(async () => {
          await upstream.setFaults({ lateOrdersMs: fault.delayMs });
          await hostClock.sleep(fault.durationMs);
          await upstream.setFaults({});
        });
        return;
    }
  }

  /**
   * Starts a router's next process. Callers connect to it once it is ready, or
   * after `READY_TIMEOUT_MS`.
   *
   * @returns whether it became ready in time
   */
  async #startRouter(
    router: SoakDeployment["routers"][number],
  ): Promise<boolean> {
    router.start();
    const ready = await this.#pollUntil(
      READY_TIMEOUT_MS,
      () => router.isReady(),
    );
    router.acceptsCallers = true;
    return ready;
  }

  /** Applies a fault and records when it starts and ends. */
  async #recordFault(apply: () => Promise<void>): Promise<void> {
    const from = hostClock.now();
    const period = { from, to: Infinity };
    this.#faults.push(period);
    await apply();
    period.to = hostClock.now();
  }

  /** Probes which configuration each router uses. */
  async #probeVersions(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const newest = this.#deployment.version;
      const versions = Array.from(
        { length: Math.min(MAX_PROBED_VERSIONS, newest) },
        (_, index) => newest - index,
      );
      await Promise.all(
        this.#targets().flatMap((target) =>
          versions.map((version) => this.#probeVersion(target, version))
        ),
      );
      await hostClock.sleep(PROBE_INTERVAL_MS, signal);
    }
  }

  /** Returns whether the router uses this version of the configuration. */
  async #probeVersion(target: Target, version: number): Promise<boolean> {
    const { router, incarnation } = target;
    const path = SoakDeployment.pathOfVersion(version);
    const { sentAt, endedAt, outcome } = await this.#callers.sendOne(
      target,
      path,
    );
    const hit = outcome.kind === "answered" && outcome.status === STATUS_OK;
    // A router that has no configuration yet refuses every request.
    const known = outcome.kind === "answered" &&
      outcome.status !== STATUS_NO_ROUTE;
    if (hit) this.#hits.push({ router, incarnation, version, sentAt, endedAt });
    return known && hit;
  }

  async #checkRecovery(): Promise<string[]> {
    const unserved = new Set<string>();
    await this.#pollUntil(RECOVERY_TIMEOUT_MS, async () => {
      unserved.clear();
      const step = KEY_COUNT / SAMPLED_KEY_COUNT;
      await Promise.all(
        this.#targets().map(async (target) => {
          const { version } = this.#deployment;
          if (!await this.#probeVersion(target, version)) {
            unserved.add(`configuration ${version} at router ${target.router}`);
          }
          for (let key = 0; key < KEY_COUNT; key += step) {
            const { outcome } = await this.#callers.sendOne(
              target,
              "/keyed-write/x",
              key,
            );
            if (outcome.kind !== "answered" || outcome.status !== STATUS_OK) {
              unserved.add(`key ${key} at router ${target.router}`);
            }
          }
        }),
      );
      return unserved.size === 0;
    });
    return [...unserved].map((name) =>
      `not served again after ${RECOVERY_TIMEOUT_MS} ms: ${name}`
    );
  }

  #targets(): Target[] {
    return this.#deployment.routers.flatMap((
      { acceptsCallers, incarnation, port },
      router,
    ) => acceptsCallers ? [{ router, incarnation, port }] : []);
  }

  async #pollUntil(
    timeoutMs: number,
    isDone: () => Promise<boolean>,
  ): Promise<boolean> {
    const deadlineAt = hostClock.now() + timeoutMs;
    while (hostClock.now() < deadlineAt) {
      if (await isDone()) return true;
      await hostClock.sleep(POLL_INTERVAL_MS);
    }
    return false;
  }
}
