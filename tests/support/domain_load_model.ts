import { chooseUpstream } from "../../src/direct/choose_upstream.ts";
import type { LoadReport } from "../../src/direct/load_report.ts";
import type { Route } from "../../src/direct/route.ts";
import type { Upstream } from "../../src/direct/upstream.ts";
import { createDomainLoadVm } from "./create_domain_load_vm.ts";
import { EventQueue } from "./event_queue.ts";
import { ManualClock } from "./manual_clock.ts";
import { RandomFaults } from "./random_faults.ts";

/** How VMs choose upstreams. */
type Arm = "today" | "two random" | "domains";
type ModelCase = {
  seed: number;
  arm: Arm;
  /** Mean arrivals relative to the capacity of all upstreams. */
  load: number;
  /** Amplitude of the waves of arrivals, relative to their mean. */
  amplitude: number;
  /** Regions that the route allows; empty means all. */
  homeRegions?: string[];
  /** Whether messages with loads are lost. */
  lossFrom?: number;
  /** Longest time that is simulated, in milliseconds. */
  durationMs?: number;
  /** Demand of each domain relative to the mean, in the order of `DOMAINS`. */
  skew?: readonly number[];
  /** Called every 100 ms with the shares that leave the first domain. */
  onShare?: (now: number, share: number) => void;
};
type ModelResult = {
  requests: number;
  inTime: number;
  late: number;
  refused: number;
  leftDomain: number;
  leftRegion: number;
  /** Requests that went to a region that their route does not allow. */
  homesLeft: number;
};
type Vm = ReturnType<typeof createDomainLoadVm>;
type SimulatedUpstream = {
  id: string;
  domain: string;
  region: string;
  speed: number;
  slowUntil: number;
  running: number;
  queue: (() => void)[];
};

const DOMAINS = ["a1", "a2", "b1", "b2"];
const REGION_OF = new Map(
  DOMAINS.map((domain) => [domain, domain.slice(0, 1)]),
);
const UPSTREAMS_PER_DOMAIN = 12;
const SLOTS = 4;
const QUEUE = 16;
const VMS_PER_DOMAIN = 5;
const WORK_MS = 200;
const WAVE_PERIOD_MS = 13_000;
const DURATION_MS = 15_000;
/** Upstreams and estimates start empty; earlier requests are not counted. */
const WARM_UP_MS = 2000;
const DOMAIN_RTT_MS = 0.5;
const OTHER_DOMAIN_RTT_MS = 2;
const OTHER_REGION_RTT_MS = 42;
const QUERY_INTERVAL_MS = 500;
const REPORT_INTERVAL_MS = 700;
const SLOW_PERIOD_MS = 2000;
const SLOW_MS = 400;
const SLOW_FACTOR = 3;
const ROUTE: Route = {
  name: "r1",
  host: "h.example",
  prefix: "/a/",
  idempotent: true,
  timeoutMs: 1500,
  objectiveMs: 600,
  maxUpstreams: 2,
  priority: 1,
  parts: [{ service: "s1", weight: 1 }],
  homeRegions: [],
};

/**
 * Simulates domains, upstreams and VMs with partial knowledge. Choices are made by
 * the code that runs in production; there is no network.
 */
export class DomainLoadModel {
  readonly #case: ModelCase;
  readonly #clock = new ManualClock();
  /** Arrivals, run times and slowdowns: the same for each arm. */
  readonly #world: RandomFaults;
  readonly #events = new EventQueue();
  #now = 0;
  readonly #vms: Vm[] = [];
  readonly #upstreams = new Map<string, SimulatedUpstream>();
  readonly #result: ModelResult = {
    requests: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    leftDomain: 0,
    leftRegion: 0,
    homesLeft: 0,
  };

  constructor(modelCase: ModelCase) {
    this.#case = modelCase;
    this.#world = new RandomFaults(modelCase.seed);
    for (const domain of DOMAINS) {
      for (let index = 0; index < UPSTREAMS_PER_DOMAIN; index++) {
        const id = `${domain}-${index}`;
        this.#upstreams.set(id, {
          id,
          domain,
          region: REGION_OF.get(domain)!,
          speed: 0.5 + this.#world.next(),
          slowUntil: 0,
          running: 0,
          queue: [],
        });
      }
    }
    for (const domain of DOMAINS) {
      for (let index = 0; index < VMS_PER_DOMAIN; index++) {
        this.#vms.push(createDomainLoadVm({
          name: `vm-${domain}-${index}`,
          domain,
          regionOf: REGION_OF,
          vms: DOMAINS.length * VMS_PER_DOMAIN,
          route: ROUTE,
          upstreams: [...this.#upstreams.values()],
          slots: SLOTS,
          workMs: WORK_MS,
          clock: this.#clock,
        }));
      }
    }
  }

  /** Runs the model; the same case always gives the same result. */
  run(): ModelResult {
    const choices = new RandomFaults(this.#case.seed + 1);
    const random = Math.random;
    Math.random = () => choices.next();
    const now = this.#clock.now.bind(this.#clock);
    this.#clock.now = () => this.#now;
    try {
      this.#start();
      this.#runEvents();
    } finally {
      Math.random = random;
      this.#clock.now = now;
    }
    return this.#result;
  }

  get #endAt(): number {
    return this.#case.durationMs ?? DURATION_MS;
  }

  /** Requests per millisecond that all upstreams together can run. */
  get #capacityPerMs(): number {
    const slowFraction = SLOW_MS / SLOW_PERIOD_MS;
    const speeds = [...this.#upstreams.values()].reduce(
      (sum, { speed }) => sum + speed,
      0,
    );
    return speeds * SLOTS / WORK_MS *
      (1 - slowFraction + slowFraction / SLOW_FACTOR);
  }

  #start(): void {
    for (const [index, domain] of DOMAINS.entries()) {
      this.#arrive(domain, index, 0);
    }
    for (const upstream of this.#upstreams.values()) {
      this.#at(this.#world.next() * SLOW_PERIOD_MS, () => this.#slow(upstream));
    }
    if (this.#case.arm !== "domains") return;
    for (const [index, vm] of this.#vms.entries()) {
      this.#at(
        QUERY_INTERVAL_MS * index / this.#vms.length,
        () => this.#query(vm),
      );
    }
    for (const region of new Set(REGION_OF.values())) this.#report(region);
    this.#observe();
  }

  #observe(): void {
    const { onShare } = this.#case;
    const [vm] = this.#vms;
    if (onShare === undefined || vm === undefined) return;
    const plan = vm.balancer.plan("s1", this.#now);
    const shares = [...plan?.domains.values() ?? []].map(({ share }) => share);
    onShare(this.#now, shares.reduce((sum, share) => sum + share, 0));
    this.#at(this.#now + 100, () => this.#observe());
  }

  /** Draws the next arrival in a domain by thinning, and the request's run time. */
  #arrive(domain: string, index: number, at: number): void {
    const { load, amplitude, skew } = this.#case;
    const meanPerMs = load * this.#capacityPerMs / DOMAINS.length *
      (skew?.[index] ?? 1);
    const maxPerMs = meanPerMs * (1 + amplitude);
    let next = at;
    for (;;) {
      next -= Math.log(1 - this.#world.next()) / maxPerMs;
      const phase = 2 * Math.PI *
        (next / WAVE_PERIOD_MS + index / DOMAINS.length);
      const perMs = meanPerMs * (1 + amplitude * Math.sin(phase));
      if (this.#world.next() * maxPerMs < perMs) break;
    }
    // A gamma distribution of shape 2: run times vary widely around the mean.
    const workMs = -WORK_MS / 2 *
      Math.log((1 - this.#world.next()) * (1 - this.#world.next()));
    const vm = this.#vms[
      index * VMS_PER_DOMAIN + Math.floor(this.#world.next() * VMS_PER_DOMAIN)
    ]!;
    this.#at(next, () => {
      this.#arrive(domain, index, next);
      this.#serve(vm, workMs);
    });
  }

  #serve(vm: Vm, workMs: number): void {
    const at = this.#now;
    const counted = at >= WARM_UP_MS;
    const result = counted ? this.#result : { ...this.#result };
    result.requests++;
    vm.local.onRequest("s1", at);
    const chosen = this.#choose(vm);
    if (chosen === undefined) {
      result.refused++;
      return;
    }
    const upstream = this.#upstreams.get(chosen.entry.id)!;
    if (upstream.domain !== vm.domain) result.leftDomain++;
    if (upstream.region !== vm.region) result.leftRegion++;
    const { homeRegions = [] } = this.#case;
    if (homeRegions.length > 0 && !homeRegions.includes(upstream.region)) {
      result.homesLeft++;
    }
    const rttMs = upstream.domain === vm.domain
      ? DOMAIN_RTT_MS
      : upstream.region === vm.region
      ? OTHER_DOMAIN_RTT_MS
      : OTHER_REGION_RTT_MS;
    chosen.load.onSent();
    this.#at(at + rttMs / 2, () => {
      if (upstream.queue.length >= QUEUE) {
        const report = reportOf(upstream, this.#now);
        this.#at(this.#now + rttMs / 2, () => {
          chosen.load.onReport(report, this.#now);
          chosen.load.onEnded();
          result.refused++;
        });
        return;
      }
      const run = () => {
        upstream.running++;
        this.#at(this.#now + workMs * slowdownOf(upstream, this.#now), () => {
          upstream.running--;
          upstream.queue.shift()?.();
          const report = reportOf(upstream, this.#now);
          this.#at(this.#now + rttMs / 2, () => {
            chosen.load.onReport(report, this.#now);
            chosen.load.onEnded();
            if (this.#now - at <= ROUTE.objectiveMs) result.inTime++;
            else result.late++;
          });
        });
      };
      if (upstream.running < SLOTS) run();
      else upstream.queue.push(run);
    });
  }

  #choose(vm: Vm): Upstream | undefined {
    const { arm, homeRegions = [] } = this.#case;
    const route = { ...ROUTE, homeRegions };
    if (arm === "two random") {
      const near = [...vm.view.upstreams].filter(({ entry }) =>
        REGION_OF.get(entry.failureDomain) === vm.region
      );
      const [first, second] = [0, 1].map(() =>
        near[Math.floor(Math.random() * near.length)]!
      );
      return expectedMs(first!, this.#now) <= expectedMs(second!, this.#now)
        ? first
        : second;
    }
    const choice = chooseUpstream({
      view: vm.view,
      route,
      service: "s1",
      key: undefined,
      tried: new Set(),
      location: { vm: vm.name, failureDomain: vm.domain, region: vm.region },
      workMs: WORK_MS,
      remainingMs: ROUTE.timeoutMs,
      now: this.#now,
      balancer: arm === "domains" ? vm.balancer : undefined,
    });
    return choice.kind === "send" ? choice.upstream : undefined;
  }

  /** A fifth of the time, each upstream is slower. */
  #slow(upstream: SimulatedUpstream): void {
    upstream.slowUntil = this.#now + SLOW_MS;
    const period = SLOW_PERIOD_MS * (0.5 + this.#world.next());
    this.#at(this.#now + period, () => this.#slow(upstream));
  }

  /** A VM's query to the first VM of its region, the relay. */
  #query(vm: Vm): void {
    this.#at(this.#now + QUERY_INTERVAL_MS, () => this.#query(vm));
    if (this.#now >= (this.#case.lossFrom ?? Infinity)) return;
    const relay = this.#relayOf(vm.region);
    if (relay === vm) {
      vm.exchange.queryOwn();
      return;
    }
    const sentAt = this.#now;
    const query = vm.exchange.query();
    this.#at(sentAt + 1, () => {
      const answer = relay.exchange.onQuery(query);
      this.#at(this.#now + 1, () => vm.exchange.onAnswer(answer, sentAt));
    });
  }

  /** A relay's report to the first VM of all, the leader. */
  #report(region: string): void {
    this.#at(this.#now + REPORT_INTERVAL_MS, () => this.#report(region));
    const relay = this.#relayOf(region);
    const leader = this.#vms[0]!;
    const loads = relay.exchange.regionLoads();
    this.#at(this.#now + OTHER_REGION_RTT_MS / 2, () => {
      const others = leader.exchange.onRegionLoads(region, loads);
      this.#at(
        this.#now + OTHER_REGION_RTT_MS / 2,
        () => relay.exchange.onOtherRegions(others),
      );
    });
  }

  #relayOf(region: string): Vm {
    return this.#vms.find((vm) => vm.region === region)!;
  }

  #at(at: number, run: () => void): void {
    this.#events.add(at, run);
  }

  /** Requests that have not ended with the model are not counted as late. */
  #runEvents(): void {
    for (;;) {
      const event = this.#events.next();
      if (event === undefined || event.at > this.#endAt) return;
      this.#now = event.at;
      event.run();
    }
  }
}

function expectedMs(upstream: Upstream, now: number): number {
  const { waitMs, runMs } = upstream.load.expectedTimes(WORK_MS, now);
  return waitMs + runMs;
}

function slowdownOf({ speed, slowUntil }: SimulatedUpstream, now: number) {
  return (now < slowUntil ? SLOW_FACTOR : 1) / speed;
}

function reportOf(upstream: SimulatedUpstream, now: number): LoadReport {
  return {
    running: upstream.running,
    waiting: upstream.queue.length,
    slots: SLOTS,
    slowdown: slowdownOf(upstream, now),
  };
}
