import type { Clock } from "../base/clock.ts";
import type { AssignmentView } from "../shards/assignment_view.ts";
import type { MemberView } from "../vms/member_view.ts";

/** Age at which an estimate starts to decay toward the median. */
const ESTIMATE_FRESH_MS = 2000;
/** Time in which an estimate that is no longer fresh decays to the median. */
const ESTIMATE_DECAY_MS = 2000;
/** Time for which an unreachable upstream is not chosen. */
const UNREACHABLE_EXCLUSION_MS = 300;
/** Minimum wait that each of this router's requests in flight adds. */
const MIN_WAIT_PER_REQUEST_MS = 1;

type Estimate = {
  /** Wait that the dispatcher reported with its last response. */
  waitMs: number;
  updatedAt: number;
  /** Requests of this router in flight at the upstream. */
  inFlight: number;
  excludedUntil: number;
};

type Candidate = { upstream: string; vm: string; rowRevision: number };

/**
 * Chooses upstreams for services without keys: of two random candidates, the
 * one with the shorter estimated wait. The random draw keeps routers with the
 * same estimates from all choosing the same upstream.
 */
export class UpstreamChooser {
  readonly #clock: Clock;
  readonly #region: string;
  readonly #assignments: AssignmentView;
  readonly #members: MemberView;
  readonly #random: () => number;
  readonly #estimates = new Map<string, Map<string, Estimate>>();

  /**
   * @param opts - clock, region of this router, the assignment rows and
   * registered routers that determine which upstreams are live, and a source of
   * random numbers in [0, 1)
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
   * Chooses an upstream of this router's region or, if none is live there, of
   * another home region.
   *
   * @param service - service without keys
   * @param homeRegions - home regions of the entry
   * @param tried - upstreams that have refused this request
   * @returns the upstream, or undefined if every live one was tried
   */
  choose(
    service: string,
    homeRegions: readonly string[],
    tried: ReadonlySet<string>,
  ): Candidate | undefined {
    const ownRegion = homeRegions.filter((region) => region === this.#region);
    const live = this.#liveCandidates(service, ownRegion);
    const usable = live.length > 0 ? live : this.#liveCandidates(
      service,
      homeRegions.filter((region) => region !== this.#region),
    );
    return this.#lessLoadedOfTwo(
      service,
      usable.filter((candidate) => !tried.has(candidate.upstream)),
    );
  }

  /**
   * Counts a request as in flight at an upstream.
   *
   * @param service - service of the upstream
   * @param upstream - the upstream
   * @returns a function that the caller calls once when the request has ended
   */
  trackRequest(service: string, upstream: string): () => void {
    const estimate = this.#getOrCreateEstimate(service, upstream);
    estimate.inFlight++;
    return () => {
      estimate.inFlight--;
    };
  }

  /**
   * Updates the estimate of an upstream that responded and makes it eligible
   * again.
   *
   * @param service - service of the upstream
   * @param upstream - the upstream that responded
   * @param waitMs - the wait that its dispatcher reported with the response
   */
  recordResponse(service: string, upstream: string, waitMs: number): void {
    const estimate = this.#getOrCreateEstimate(service, upstream);
    estimate.waitMs = waitMs;
    estimate.updatedAt = this.#clock.now();
    estimate.excludedUntil = 0;
  }

  /**
   * Excludes an upstream for 300 ms.
   *
   * @param service - service of the upstream
   * @param upstream - the upstream that could not be reached
   */
  recordUnreachable(service: string, upstream: string): void {
    this.#getOrCreateEstimate(service, upstream).excludedUntil =
      this.#clock.now() +
      UNREACHABLE_EXCLUSION_MS;
  }

  #getOrCreateEstimate(service: string, upstream: string): Estimate {
    let serviceEstimates = this.#estimates.get(service);
    if (serviceEstimates === undefined) {
      serviceEstimates = new Map();
      this.#estimates.set(service, serviceEstimates);
    }
    let estimate = serviceEstimates.get(upstream);
    if (estimate === undefined) {
      estimate = {
        waitMs: 0,
        updatedAt: Number.NEGATIVE_INFINITY,
        inFlight: 0,
        excludedUntil: 0,
      };
      serviceEstimates.set(upstream, estimate);
    }
    return estimate;
  }

  #liveCandidates(service: string, regions: readonly string[]): Candidate[] {
    const now = this.#clock.now();
    const estimates = this.#estimates.get(service);
    const candidates: Candidate[] = [];
    for (const region of regions) {
      const assignment = this.#assignments.get(region, service);
      if (assignment === undefined) continue;
      for (const { id } of assignment.row.upstreams) {
        const vm = assignment.row.tenures[id]?.vm;
        if (vm === undefined || this.#members.get(vm) === undefined) continue;
        if ((estimates?.get(id)?.excludedUntil ?? 0) > now) continue;
        candidates.push({ upstream: id, vm, rowRevision: assignment.revision });
      }
    }
    return candidates;
  }

  #lessLoadedOfTwo(
    service: string,
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    const first = Math.floor(this.#random() * candidates.length);
    if (candidates.length < 2) return candidates[first];
    // Draws from the other candidates, so that the two differ.
    const offset = Math.floor(this.#random() * (candidates.length - 1));
    const second = (first + 1 + offset) % candidates.length;
    const [a, b] = [candidates[first], candidates[second]];
    if (a === undefined || b === undefined) return a ?? b;
    const median = this.#medianWait(service);
    return this.#estimatedWait(service, b.upstream, median) <
        this.#estimatedWait(service, a.upstream, median)
      ? b
      : a;
  }

  #estimatedWait(service: string, upstream: string, median: number): number {
    const estimate = this.#estimates.get(service)?.get(upstream);
    if (estimate === undefined) return median;
    const staleForMs = this.#clock.now() - estimate.updatedAt -
      ESTIMATE_FRESH_MS;
    const decayedFraction = Math.min(
      1,
      Math.max(0, staleForMs / ESTIMATE_DECAY_MS),
    );
    const wait = estimate.waitMs + (median - estimate.waitMs) * decayedFraction;
    return wait + estimate.inFlight * Math.max(MIN_WAIT_PER_REQUEST_MS, median);
  }

  #medianWait(service: string): number {
    const since = this.#clock.now() - ESTIMATE_FRESH_MS - ESTIMATE_DECAY_MS;
    const waits: number[] = [];
    for (const estimate of this.#estimates.get(service)?.values() ?? []) {
      if (estimate.updatedAt >= since) waits.push(estimate.waitMs);
    }
    waits.sort((a, b) => a - b);
    return waits[Math.floor(waits.length / 2)] ?? 0;
  }
}
