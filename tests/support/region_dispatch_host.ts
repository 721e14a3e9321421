import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { RenewGrant } from "../../src/regions/renew_grant.ts";
import type { RenewReport } from "../../src/regions/renew_report.ts";
import type { AssignmentView } from "../../src/shards/assignment_view.ts";
import { shardOf } from "../../src/shards/shard_of.ts";
import type { DispatchHost } from "../../src/upstreams/dispatch_host.ts";
import type { RandomFaults } from "./random_faults.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { SimulatedUpstream } from "./simulated_upstream.ts";

/** A unit that the coordinator has asked the dispatcher to release. */
type Release = {
  /** Whether the last request of the unit has ended. */
  drained: boolean;
  /**
   * Whether the upstream has acknowledged a grant without the unit, or does
   * not check grants.
   */
  grantRevoked: boolean;
  /** End of the last grant that may include the unit. */
  grantExpiresAt: number;
};
type Term = {
  service: string;
  upstream: SimulatedUpstream;
  epoch: number;
  seq: number;
  draining: boolean;
  ended: boolean;
  releases: Map<string, Release>;
  grantExpiresAt: number;
  inFlight: { digest: string; unit: string; until: number }[];
};
type Deps = {
  region: string;
  process: SimulatedProcess;
  /** Clock of the upstreams minus clock of this process, in milliseconds. */
  upstreamClockOffsetMs: number;
  faults: RandomFaults;
  assignments: AssignmentView;
  upstreams: ReadonlyMap<string, SimulatedUpstream>;
  /** Whether this router cannot reach the upstream. */
  isUnreachable: (upstream: SimulatedUpstream) => boolean;
  keys: readonly string[];
  /** Returns how long the next request runs, in milliseconds. */
  nextRunMs: () => number;
  hotKeys: () => RenewReport["hotKeys"];
};

/** Request rate of an upstream without its hot keys. */
const BASE_RATE_PER_UPSTREAM_PER_S = 20;
const STEP_INTERVAL_MS = 20;
const GRANT_RENEWAL_INTERVAL_MS = 100;
const GRANT_TTL_MS = 2000;

/**
 * Dispatchers of one simulated router, which follow the protocol for moving a
 * shard (section 6.2 of docs/design.md): they finish the requests of a unit
 * that is to be released, revoke its grant at the upstream, and report it.
 */
export class SimulatedDispatchHost implements DispatchHost {
  readonly #deps: Deps;
  readonly #terms = new Map<string, Term>();
  readonly #reportChanged = new ChangeNotifier();
  #coordinatorEpoch = 0;
  #leaseEndsAt = -Infinity;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  collectReport(): RenewReport {
    const now = this.#deps.process.now();
    const terms = [...this.#terms.values()];
    const identify = (term: Term) => ({
      service: term.service,
      upstream: term.upstream.id,
      epoch: term.epoch,
    });
    return {
      tenures: terms.filter((term) => !term.ended).map(identify),
      ended: terms.filter((term) => term.ended)
        .map((term) => ({ ...identify(term), readyInMs: 0 })),
      released: terms.flatMap((term) =>
        [...term.releases].filter(([, release]) => release.drained)
          .map(([unit, release]) => ({
            service: term.service,
            upstream: term.upstream.id,
            unit,
            readyInMs: release.grantRevoked
              ? 0
              : Math.max(0, release.grantExpiresAt - now),
          }))
      ),
      upstreams: terms.map((term) => ({
        service: term.service,
        upstream: term.upstream.id,
        state: this.#canReachUpstream(term) ? "warm" as const : "lost" as const,
        inFlight: term.inFlight.length,
        queued: 0,
        serviceMs: 10,
        ratePerS: this.#hotKeysOf(term)
          .reduce(
            (sum, key) => sum + key.ratePerS,
            BASE_RATE_PER_UPSTREAM_PER_S,
          ),
      })),
      hotKeys: terms.flatMap((term) => this.#hotKeysOf(term)),
    };
  }

  applyGrant(grant: RenewGrant, leaseEndsAt: number): void {
    const isNewCoordinator = grant.coordinatorEpoch > this.#coordinatorEpoch;
    this.#coordinatorEpoch = grant.coordinatorEpoch;
    this.#leaseEndsAt = leaseEndsAt;
    const grantedUpstreams = new Set<string>();
    for (const { service, upstream, epoch } of grant.tenures) {
      grantedUpstreams.add(upstream);
      if (this.#terms.get(upstream)?.epoch === epoch) continue;
      this.#terms.set(upstream, {
        service,
        upstream: this.#deps.upstreams.get(upstream)!,
        epoch,
        seq: 0,
        draining: false,
        ended: false,
        releases: new Map(),
        grantExpiresAt: -Infinity,
        inFlight: [],
      });
    }
    for (const [upstream, term] of this.#terms) {
      if (!grantedUpstreams.has(upstream)) {
        this.#terms.delete(upstream);
        continue;
      }
      const unitsToRelease = new Set(
        grant.releases.filter((item) => item.upstream === upstream)
          .flatMap((item) => item.units),
      );
      term.draining = grant.endTenures
        .some((item) => item.upstream === upstream);
      if (!term.draining) term.ended = false;
      for (const unit of term.releases.keys()) {
        const stale = isNewCoordinator && !unitsToRelease.has(unit);
        if (stale || !this.#isAssigned(term, unit)) term.releases.delete(unit);
      }
      for (const unit of unitsToRelease) {
        if (term.releases.has(unit)) continue;
        term.releases.set(unit, {
          drained: false,
          grantRevoked: false,
          grantExpiresAt: term.grantExpiresAt,
        });
      }
    }
  }

  reportChanged(): Promise<void> {
    return this.#reportChanged.next();
  }

  /**
   * @returns the upstream and the unit of the key if this router accepts its
   * requests now, otherwise `undefined`
   */
  accepts(
    service: string,
    digest: string,
  ): { upstream: string; unit: string } | undefined {
    const owner = this.#assignedOwner(service, digest);
    if (owner === undefined) return undefined;
    const term = this.#terms.get(owner.upstream);
    if (
      term === undefined || term.draining ||
      this.#deps.process.now() >= this.#leaseEndsAt ||
      term.releases.has(owner.unit) || term.releases.has(`pin:${digest}`)
    ) return undefined;
    return owner;
  }

  dispatchesFor(upstream: string): boolean {
    return this.#deps.process.now() < this.#leaseEndsAt &&
      this.#terms.get(upstream)?.ended === false;
  }

  async run(): Promise<void> {
    const { process } = this.#deps;
    let nextGrantAt = 0;
    while (!process.signal.aborted) {
      await process.sleep(STEP_INTERVAL_MS, process.signal);
      await process.untilRunning();
      const now = process.now();
      for (const term of this.#terms.values()) {
        term.inFlight = term.inFlight.filter((run) => now < run.until);
        this.#updateDrainState(term);
        if (now >= nextGrantAt) void this.#sendGrant(term);
      }
      if (now >= nextGrantAt) nextGrantAt = now + GRANT_RENEWAL_INTERVAL_MS;
      for (const term of this.#terms.values()) this.#startRequest(term);
    }
  }

  #updateDrainState(term: Term): void {
    for (const [unit, release] of term.releases) {
      if (release.drained) continue;
      const hasRequests = term.inFlight.some((run) =>
        run.unit === unit || `pin:${run.digest}` === unit
      );
      if (hasRequests) continue;
      release.drained = true;
      release.grantRevoked = !term.upstream.checksGrants;
      release.grantExpiresAt = term.grantExpiresAt;
      void this.#sendGrant(term);
      this.#reportChanged.notify();
    }
    if (
      term.draining && !term.ended && term.inFlight.length === 0
    ) {
      term.ended = true;
      this.#reportChanged.notify();
    }
  }

  async #sendGrant(term: Term): Promise<void> {
    const { process, faults, upstreamClockOffsetMs } = this.#deps;
    const now = process.now();
    if (
      term.ended || now >= this.#leaseEndsAt || !term.upstream.checksGrants
    ) return;
    const grantExpiresAt = Math.min(this.#leaseEndsAt, now + GRANT_TTL_MS);
    term.seq += 1;
    const { seq, epoch } = term;
    const units = new Set(
      this.#unitsOf(term).filter((unit) =>
        term.releases.get(unit)?.drained !== true
      ),
    );
    term.grantExpiresAt = grantExpiresAt;
    await process.sleepEvenIfPaused(faults.nextDelayMs());
    if (!this.#canReachUpstream(term) || faults.isLost()) return;
    const accepted = term.upstream.acceptGrant({
      epoch,
      seq,
      units,
      until: grantExpiresAt + upstreamClockOffsetMs,
    });
    await process.sleepEvenIfPaused(faults.nextDelayMs());
    if (!accepted || !this.#canReachUpstream(term) || faults.isLost()) return;
    await process.untilRunning();
    for (const [unit, release] of term.releases) {
      if (!release.drained || release.grantRevoked || units.has(unit)) continue;
      release.grantRevoked = true;
      this.#reportChanged.notify();
    }
  }

  #startRequest(term: Term): void {
    const {
      process,
      faults,
      keys,
      nextRunMs,
      upstreamClockOffsetMs,
    } = this.#deps;
    const digest = faults.pick(keys);
    const owner = this.accepts(term.service, digest);
    if (
      owner?.upstream !== term.upstream.id || !this.#canReachUpstream(term)
    ) {
      return;
    }
    const now = process.now();
    const until = now + nextRunMs();
    const { unit } = owner;
    const started = term.upstream.start({
      digest,
      unit,
      epoch: term.epoch,
      until: until + upstreamClockOffsetMs,
    }, now + upstreamClockOffsetMs);
    if (started) term.inFlight.push({ digest, unit, until });
  }

  #unitsOf(term: Term): string[] {
    const { assignments, region } = this.#deps;
    const row = assignments.get(region, term.service)?.row;
    if (row === undefined) return [];
    const { id } = term.upstream;
    return [
      ...row.shards.flatMap((upstreamIndex, shard) =>
        row.upstreams[upstreamIndex]?.id === id ? [`shard:${shard}`] : []
      ),
      ...Object.entries(row.pins).filter(([, upstream]) => upstream === id)
        .map(([digest]) => `pin:${digest}`),
    ];
  }

  /**
   * Returns whether the assignment row gives a unit to the term's upstream. A
   * key that is about to be pinned is a unit of the upstream that owns its
   * shard.
   */
  #isAssigned(term: Term, unit: string): boolean {
    if (unit.startsWith("shard:")) return this.#unitsOf(term).includes(unit);
    const digest = unit.slice("pin:".length);
    const owner = this.#assignedOwner(term.service, digest);
    return owner?.upstream === term.upstream.id;
  }

  #assignedOwner(
    service: string,
    digest: string,
  ): { upstream: string; unit: string } | undefined {
    const { assignments, region } = this.#deps;
    const row = assignments.get(region, service)?.row;
    if (row === undefined || row.shards.length === 0) return undefined;
    const shard = shardOf(digest, row.shards.length);
    const pinned = row.pins[digest];
    if (pinned !== undefined) {
      return { upstream: pinned, unit: `pin:${digest}` };
    }
    const upstream = row.upstreams[row.shards[shard] ?? -1]?.id;
    return upstream === undefined
      ? undefined
      : { upstream, unit: `shard:${shard}` };
  }

  #hotKeysOf(term: Term): RenewReport["hotKeys"] {
    return this.#deps.hotKeys().filter((key) =>
      key.service === term.service &&
      this.accepts(key.service, key.digest)?.upstream === term.upstream.id
    );
  }

  #canReachUpstream(term: Term): boolean {
    return !this.#deps.isUnreachable(term.upstream);
  }
}
