import type { Clock } from "../base/clock.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { MemberView } from "../vms/member_view.ts";

/** Age at which an estimate starts to move toward the median. */
const FRESH_MS = 2000;
/** Time over which an estimate that is no longer fresh reaches the median. */
const AGEING_MS = 2000;
/** Time for which an upstream that could not be reached counts as not live. */
const FAILED_MS = 300;
/** Least wait that an own request in flight adds to the estimate. */
const MIN_REQUEST_MS = 1;

type Estimate = {
  waitMs: number;
  at: number;
  inFlight: number;
  failedUntil: number;
};

type Candidate = { upstream: string; vm: string; rowRevision: number };

/**
 * Chooses upstreams for services without keys: of two random ones, the one with
 * the shorter estimated wait. Random choice keeps routers that have the same
 * estimates from all choosing the same upstream.
 */
export class UpstreamChooser {
  readonly #clock: Clock;
  readonly #region: string;
  readonly #assignments: AssignmentView;
  readonly #members: MemberView;
  readonly #random: () => number;
  readonly #estimates = new Map<string, Map<string, Estimate>>();

  /**
   * @param opts - clock, own region, the rows and routers that say which
   * upstreams are live, and a source of random numbers in [0, 1)
   */
  constructor(opts: {
    clock: Clock;
    region: string;
    assignments: AssignmentView;
    members: MemberView;
    random: () => number;
  }) {
    this.#clock = opts.clock;
    this.#region = opts.region;
    this.#assignments = opts.assignments;
    this.#members = opts.members;
    this.#random = opts.random;
  }

  /**
   * @param service - service without keys
   * @param homeRegions - home regions of the entry
   * @param tried - upstreams that this request has been refused by
   * @returns an upstream of the own region, if one is live, or else of another
   * home region; undefined if none is left
   */
  choose(
    service: string,
    homeRegions: readonly string[],
    tried: ReadonlySet<string>,
  ): Candidate | undefined {
    const own = homeRegions.filter((region) => region === this.#region);
    const live = this.#live(service, own);
    const usable = live.length > 0 ? live : this.#live(
      service,
      homeRegions.filter((region) => region !== this.#region),
    );
    return this.#better(
      service,
      usable.filter((candidate) => !tried.has(candidate.upstream)),
    );
  }

  /**
   * Counts a request that is sent to an upstream.
   *
   * @param service - service of the upstream
   * @param upstream - the upstream
   * @returns a function to call once, when the request has ended
   */
  started(service: string, upstream: string): () => void {
    const estimate = this.#estimate(service, upstream);
    estimate.inFlight++;
    return () => {
      estimate.inFlight--;
    };
  }

  /**
   * @param service - service of the upstream
   * @param upstream - the upstream that answered
   * @param waitMs - the wait that its dispatcher estimated with the answer
   */
  answered(service: string, upstream: string, waitMs: number): void {
    const estimate = this.#estimate(service, upstream);
    estimate.waitMs = waitMs;
    estimate.at = this.#clock.now();
    estimate.failedUntil = 0;
  }

  /**
   * @param service - service of the upstream
   * @param upstream - the upstream that could not be reached
   */
  failed(service: string, upstream: string): void {
    this.#estimate(service, upstream).failedUntil = this.#clock.now() +
      FAILED_MS;
  }

  #estimate(service: string, upstream: string): Estimate {
    let ofService = this.#estimates.get(service);
    if (ofService === undefined) {
      ofService = new Map();
      this.#estimates.set(service, ofService);
    }
    let estimate = ofService.get(upstream);
    if (estimate === undefined) {
      estimate = {
        waitMs: 0,
        at: Number.NEGATIVE_INFINITY,
        inFlight: 0,
        failedUntil: 0,
      };
      ofService.set(upstream, estimate);
    }
    return estimate;
  }

  #live(service: string, regions: readonly string[]): Candidate[] {
    const now = this.#clock.now();
    const known = this.#estimates.get(service);
    const found: Candidate[] = [];
    for (const region of regions) {
      const held = this.#assignments.get(region, service);
      if (held === undefined) continue;
      for (const { id } of held.row.upstreams) {
        const vm = held.row.tenures[id]?.vm;
        if (vm === undefined || this.#members.get(vm) === undefined) continue;
        if ((known?.get(id)?.failedUntil ?? 0) > now) continue;
        found.push({ upstream: id, vm, rowRevision: held.revision });
      }
    }
    return found;
  }

  #better(
    service: string,
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    const first = Math.floor(this.#random() * candidates.length);
    if (candidates.length < 2) return candidates[first];
    // Draws from the others, so that the two differ.
    const offset = Math.floor(this.#random() * (candidates.length - 1));
    const second = (first + 1 + offset) % candidates.length;
    const [a, b] = [candidates[first], candidates[second]];
    if (a === undefined || b === undefined) return a ?? b;
    const median = this.#medianWait(service);
    return this.#waitOf(service, b.upstream, median) <
        this.#waitOf(service, a.upstream, median)
      ? b
      : a;
  }

  #waitOf(service: string, upstream: string, median: number): number {
    const estimate = this.#estimates.get(service)?.get(upstream);
    if (estimate === undefined) return median;
    const over = this.#clock.now() - estimate.at - FRESH_MS;
    const aged = Math.min(1, Math.max(0, over / AGEING_MS));
    const wait = estimate.waitMs + (median - estimate.waitMs) * aged;
    return wait + estimate.inFlight * Math.max(MIN_REQUEST_MS, median);
  }

  #medianWait(service: string): number {
    const since = this.#clock.now() - FRESH_MS - AGEING_MS;
    const waits: number[] = [];
    for (const estimate of this.#estimates.get(service)?.values() ?? []) {
      if (estimate.at >= since) waits.push(estimate.waitMs);
    }
    waits.sort((a, b) => a - b);
    return waits[Math.floor(waits.length / 2)] ?? 0;
  }
}
