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
type Tenure = {
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
  readonly #tenures = new Map<string, Tenure>();
  readonly #changed = new ChangeNotifier();
  #epoch = 0;
  #leaseEndsAt = -Infinity;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  collect(): RenewReport {
    const now = this.#deps.process.now();
    const tenures = [...this.#tenures.values()];
    const name = (tenure: Tenure) => ({
      service: tenure.service,
      upstream: tenure.upstream.id,
      epoch: tenure.epoch,
    });
    return {
      tenures: tenures.filter((tenure) => !tenure.ended).map(name),
      ended: tenures.filter((tenure) => tenure.ended).map(name),
      released: tenures.flatMap((tenure) =>
        [...tenure.releases].filter(([, release]) => release.drained)
          .map(([unit, release]) => ({
            service: tenure.service,
            upstream: tenure.upstream.id,
            unit,
            readyInMs: release.confirmed
              ? 0
              : Math.max(0, release.grantEndsAt - now),
          }))
      ),
      upstreams: tenures.map((tenure) => ({
        service: tenure.service,
        upstream: tenure.upstream.id,
        state: this.#reaches(tenure) ? "warm" as const : "lost" as const,
        inFlight: tenure.inFlight.length,
        queued: 0,
        serviceMs: 10,
        ratePerS: this.#hotKeysOf(tenure)
          .reduce((sum, key) => sum + key.ratePerS, BASE_RATE_PER_S),
      })),
      hotKeys: tenures.flatMap((tenure) => this.#hotKeysOf(tenure)),
    };
  }

  apply(grant: RenewGrant, leaseEndsAt: number): void {
    const newCoordinator = grant.coordinatorEpoch > this.#epoch;
    this.#epoch = grant.coordinatorEpoch;
    this.#leaseEndsAt = leaseEndsAt;
    const held = new Set<string>();
    for (const { service, upstream, epoch } of grant.tenures) {
      held.add(upstream);
      if (this.#tenures.get(upstream)?.epoch === epoch) continue;
      this.#tenures.set(upstream, {
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
    for (const [upstream, tenure] of this.#tenures) {
      if (!held.has(upstream)) {
        this.#tenures.delete(upstream);
        continue;
      }
      const listed = new Set(
        grant.releases.filter((item) => item.upstream === upstream)
          .flatMap((item) => item.units),
      );
      tenure.draining = grant.endTenures
        .some((item) => item.upstream === upstream);
      if (!tenure.draining) tenure.ended = false;
      for (const unit of tenure.releases.keys()) {
        const over = newCoordinator && !listed.has(unit);
        if (over || !this.#rowGives(tenure, unit)) tenure.releases.delete(unit);
      }
      for (const unit of listed) {
        if (tenure.releases.has(unit)) continue;
        tenure.releases.set(unit, {
          drained: false,
          confirmed: false,
          grantEndsAt: tenure.grantEndsAt,
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
    const tenure = this.#tenures.get(owner.upstream);
    if (
      tenure === undefined || tenure.draining ||
      this.#deps.process.now() >= this.#leaseEndsAt ||
      tenure.releases.has(owner.unit) || tenure.releases.has(`pin:${digest}`)
    ) return undefined;
    return owner;
  }

  dispatchesFor(upstream: string): boolean {
    return this.#deps.process.now() < this.#leaseEndsAt &&
      this.#tenures.get(upstream)?.ended === false;
  }

  async run(): Promise<void> {
    const { process } = this.#deps;
    let grantAt = 0;
    while (!process.signal.aborted) {
      await process.sleep(TICK_MS, process.signal);
      await process.running();
      const now = process.now();
      for (const tenure of this.#tenures.values()) {
        tenure.inFlight = tenure.inFlight.filter((run) => now < run.until);
        this.#drain(tenure);
        if (now >= grantAt) void this.#sendGrant(tenure);
      }
      if (now >= grantAt) grantAt = now + GRANT_EVERY_MS;
      for (const tenure of this.#tenures.values()) this.#startRequest(tenure);
    }
  }

  #drain(tenure: Tenure): void {
    for (const [unit, release] of tenure.releases) {
      if (release.drained) continue;
      const busy = tenure.inFlight.some((run) =>
        run.unit === unit || `pin:${run.digest}` === unit
      );
      if (busy) continue;
      release.drained = true;
      release.confirmed = !tenure.upstream.checksGrants;
      release.grantEndsAt = tenure.grantEndsAt;
      void this.#sendGrant(tenure);
      this.#changed.notify();
    }
    if (
      tenure.draining && !tenure.ended && tenure.inFlight.length === 0
    ) {
      tenure.ended = true;
      this.#changed.notify();
    }
  }

  async #sendGrant(tenure: Tenure): Promise<void> {
    const { process, faults, upstreamOffset } = this.#deps;
    const now = process.now();
    if (
      tenure.ended || now >= this.#leaseEndsAt || !tenure.upstream.checksGrants
    ) return;
    const until = Math.min(this.#leaseEndsAt, now + GRANT_TTL_MS);
    tenure.seq += 1;
    const { seq, epoch } = tenure;
    const units = new Set(
      this.#unitsOf(tenure).filter((unit) =>
        tenure.releases.get(unit)?.drained !== true
      ),
    );
    tenure.grantEndsAt = until;
    await process.elapse(faults.delayMs());
    if (!this.#reaches(tenure) || faults.lost()) return;
    const accepted = tenure.upstream.grant({
      epoch,
      seq,
      units,
      until: until + upstreamOffset,
    });
    await process.elapse(faults.delayMs());
    if (!accepted || !this.#reaches(tenure) || faults.lost()) return;
    await process.running();
    for (const [unit, release] of tenure.releases) {
      if (!release.drained || release.confirmed || units.has(unit)) continue;
      release.confirmed = true;
      this.#changed.notify();
    }
  }

  #startRequest(tenure: Tenure): void {
    const { process, faults, keys, runMs, upstreamOffset } = this.#deps;
    const digest = faults.pick(keys);
    const accepted = this.accepts(tenure.service, digest);
    if (accepted?.upstream !== tenure.upstream.id || !this.#reaches(tenure)) {
      return;
    }
    const now = process.now();
    const until = now + runMs();
    const { unit } = accepted;
    const started = tenure.upstream.start({
      digest,
      unit,
      epoch: tenure.epoch,
      until: until + upstreamOffset,
    }, now + upstreamOffset);
    if (started) tenure.inFlight.push({ digest, unit, until });
  }

  #unitsOf(tenure: Tenure): string[] {
    const { assignments, region } = this.#deps;
    const row = assignments.get(region, tenure.service)?.row;
    if (row === undefined) return [];
    const { id } = tenure.upstream;
    return [
      ...row.shards.flatMap((position, shard) =>
        row.upstreams[position]?.id === id ? [`shard:${shard}`] : []
      ),
      ...Object.entries(row.pins).filter(([, upstream]) => upstream === id)
        .map(([digest]) => `pin:${digest}`),
    ];
  }

  /** A key that is being pinned is a unit of its shard's owner. */
  #rowGives(tenure: Tenure, unit: string): boolean {
    if (unit.startsWith("shard:")) return this.#unitsOf(tenure).includes(unit);
    const digest = unit.slice("pin:".length);
    const owner = this.#ownerByRow(tenure.service, digest);
    return owner?.upstream === tenure.upstream.id;
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

  #hotKeysOf(tenure: Tenure): RenewReport["hotKeys"] {
    return this.#deps.hotKeys().filter((key) =>
      key.service === tenure.service &&
      this.accepts(key.service, key.digest)?.upstream === tenure.upstream.id
    );
  }

  #reaches(tenure: Tenure): boolean {
    return !this.#deps.unreachable(tenure.upstream);
  }
}
