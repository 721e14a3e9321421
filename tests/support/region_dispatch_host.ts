import { ChangeNotifier } from "../../src/base/change_notifier.ts";
import type { RenewGrant } from "../../src/regions/renew_grant.ts";
import type { RenewReport } from "../../src/regions/renew_report.ts";
import type { AssignmentView } from "../../src/shards/assignment_view.ts";
import { shardOf } from "../../src/shards/shard_of.ts";
import type { DispatchHost } from "../../src/upstreams/dispatch_host.ts";
import type { RegionFaults } from "./region_faults.ts";
import type { RegionProcess } from "./region_process.ts";
import type { RegionUpstream } from "./region_upstream.ts";

type Release = { drained: boolean; confirmed: boolean; grantEndsAt: number };
type HeldTerm = {
  service: string;
  upstream: RegionUpstream;
  epoch: number;
  seq: number;
  draining: boolean;
  ended: boolean;
  releases: Map<string, Release>;
  grantEndsAt: number;
  inFlight: { digest: string; unit: string; until: number }[];
};
type Deps = {
  region: string;
  process: RegionProcess;
  /** Clock of the upstreams minus clock of this process. */
  upstreamOffset: number;
  faults: RegionFaults;
  assignments: AssignmentView;
  upstreams: ReadonlyMap<string, RegionUpstream>;
  /** Upstreams that this router cannot reach. */
  unreachable: (upstream: RegionUpstream) => boolean;
  keys: readonly string[];
  /** How long the next request runs. */
  runMs: () => number;
  hotKeys: () => RenewReport["hotKeys"];
};

const BASE_RATE_PER_S = 20;
const TICK_MS = 20;
const GRANT_EVERY_MS = 100;
const GRANT_TTL_MS = 2000;

/** Dispatchers of one simulated router, as section 6.2 of the page says. */
export class RegionDispatchHost implements DispatchHost {
  readonly #deps: Deps;
  readonly #terms = new Map<string, HeldTerm>();
  readonly #changed = new ChangeNotifier();
  #epoch = 0;
  #leaseEndsAt = -Infinity;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  collect(): RenewReport {
    const now = this.#deps.process.now();
    const terms = [...this.#terms.values()];
    const name = (term: HeldTerm) => ({
      service: term.service,
      upstream: term.upstream.id,
      epoch: term.epoch,
    });
    return {
      tenures: terms.filter((term) => !term.ended).map(name),
      ended: terms.filter((term) => term.ended).map(name),
      released: terms.flatMap((term) =>
        [...term.releases].filter(([, release]) => release.drained)
          .map(([unit, release]) => ({
            service: term.service,
            upstream: term.upstream.id,
            unit,
            readyInMs: release.confirmed
              ? 0
              : Math.max(0, release.grantEndsAt - now),
          }))
      ),
      upstreams: terms.map((term) => ({
        service: term.service,
        upstream: term.upstream.id,
        state: this.#reaches(term) ? "warm" as const : "lost" as const,
        inFlight: term.inFlight.length,
        queued: 0,
        serviceMs: 10,
        ratePerS: this.#hotKeysOf(term)
          .reduce((sum, key) => sum + key.ratePerS, BASE_RATE_PER_S),
      })),
      hotKeys: terms.flatMap((term) => this.#hotKeysOf(term)),
    };
  }

  apply(grant: RenewGrant, leaseEndsAt: number): void {
    const newCoordinator = grant.coordinatorEpoch > this.#epoch;
    this.#epoch = grant.coordinatorEpoch;
    this.#leaseEndsAt = leaseEndsAt;
    const held = new Set<string>();
    for (const { service, upstream, epoch } of grant.tenures) {
      held.add(upstream);
      if (this.#terms.get(upstream)?.epoch === epoch) continue;
      this.#terms.set(upstream, {
        service,
        upstream: this.#deps.upstreams.get(upstream)!,
        epoch,
        seq: 0,
        draining: false,
        ended: false,
        releases: new Map(),
        grantEndsAt: -Infinity,
        inFlight: [],
      });
    }
    for (const [upstream, term] of this.#terms) {
      if (!held.has(upstream)) {
        this.#terms.delete(upstream);
        continue;
      }
      const listed = new Set(
        grant.releases.filter((item) => item.upstream === upstream)
          .flatMap((item) => item.units),
      );
      term.draining = grant.endTenures
        .some((item) => item.upstream === upstream);
      if (!term.draining) term.ended = false;
      for (const unit of term.releases.keys()) {
        const over = newCoordinator && !listed.has(unit);
        if (over || !this.#rowGives(term, unit)) term.releases.delete(unit);
      }
      for (const unit of listed) {
        if (term.releases.has(unit)) continue;
        term.releases.set(unit, {
          drained: false,
          confirmed: false,
          grantEndsAt: term.grantEndsAt,
        });
      }
    }
  }

  reportChanged(): Promise<void> {
    return this.#changed.next();
  }

  /** @returns the upstream and unit for which the router takes a request */
  accepts(
    service: string,
    digest: string,
  ): { upstream: string; unit: string } | undefined {
    const owner = this.#ownerByRow(service, digest);
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
    let grantAt = 0;
    while (!process.signal.aborted) {
      await process.sleep(TICK_MS, process.signal);
      await process.running();
      const now = process.now();
      for (const term of this.#terms.values()) {
        term.inFlight = term.inFlight.filter((run) => now < run.until);
        this.#drain(term);
        if (now >= grantAt) void this.#sendGrant(term);
      }
      if (now >= grantAt) grantAt = now + GRANT_EVERY_MS;
      for (const term of this.#terms.values()) this.#startRequest(term);
    }
  }

  #drain(term: HeldTerm): void {
    for (const [unit, release] of term.releases) {
      if (release.drained) continue;
      const busy = term.inFlight.some((run) =>
        run.unit === unit || `pin:${run.digest}` === unit
      );
      if (busy) continue;
      release.drained = true;
      release.confirmed = !term.upstream.checksGrants;
      release.grantEndsAt = term.grantEndsAt;
      void this.#sendGrant(term);
      this.#changed.notify();
    }
    if (
      term.draining && !term.ended && term.inFlight.length === 0
    ) {
      term.ended = true;
      this.#changed.notify();
    }
  }

  async #sendGrant(term: HeldTerm): Promise<void> {
    const { process, faults, upstreamOffset } = this.#deps;
    const now = process.now();
    if (
      term.ended || now >= this.#leaseEndsAt || !term.upstream.checksGrants
    ) return;
    const until = Math.min(this.#leaseEndsAt, now + GRANT_TTL_MS);
    term.seq += 1;
    const { seq, epoch } = term;
    const units = new Set(
      this.#unitsOf(term).filter((unit) =>
        term.releases.get(unit)?.drained !== true
      ),
    );
    term.grantEndsAt = until;
    await process.elapse(faults.delayMs());
    if (!this.#reaches(term) || faults.lost()) return;
    const accepted = term.upstream.grant({
      epoch,
      seq,
      units,
      until: until + upstreamOffset,
    });
    await process.elapse(faults.delayMs());
    if (!accepted || !this.#reaches(term) || faults.lost()) return;
    await process.running();
    for (const [unit, release] of term.releases) {
      if (!release.drained || release.confirmed || units.has(unit)) continue;
      release.confirmed = true;
      this.#changed.notify();
    }
  }

  #startRequest(term: HeldTerm): void {
    const { process, faults, keys, runMs, upstreamOffset } = this.#deps;
    const digest = faults.pick(keys);
    const accepted = this.accepts(term.service, digest);
    if (accepted?.upstream !== term.upstream.id || !this.#reaches(term)) {
      return;
    }
    const now = process.now();
    const until = now + runMs();
    const { unit } = accepted;
    const started = term.upstream.start({
      digest,
      unit,
      epoch: term.epoch,
      until: until + upstreamOffset,
    }, now + upstreamOffset);
    if (started) term.inFlight.push({ digest, unit, until });
  }

  #unitsOf(term: HeldTerm): string[] {
    const { assignments, region } = this.#deps;
    const row = assignments.get(region, term.service)?.row;
    if (row === undefined) return [];
    const { id } = term.upstream;
    return [
      ...row.shards.flatMap((position, shard) =>
        row.upstreams[position]?.id === id ? [`shard:${shard}`] : []
      ),
      ...Object.entries(row.pins).filter(([, upstream]) => upstream === id)
        .map(([digest]) => `pin:${digest}`),
    ];
  }

  /** A key that is being pinned is a unit of its shard's owner. */
  #rowGives(term: HeldTerm, unit: string): boolean {
    if (unit.startsWith("shard:")) return this.#unitsOf(term).includes(unit);
    const digest = unit.slice("pin:".length);
    const owner = this.#ownerByRow(term.service, digest);
    return owner?.upstream === term.upstream.id;
  }

  #ownerByRow(
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

  #hotKeysOf(term: HeldTerm): RenewReport["hotKeys"] {
    return this.#deps.hotKeys().filter((key) =>
      key.service === term.service &&
      this.accepts(key.service, key.digest)?.upstream === term.upstream.id
    );
  }

  #reaches(term: HeldTerm): boolean {
    return !this.#deps.unreachable(term.upstream);
  }
}
