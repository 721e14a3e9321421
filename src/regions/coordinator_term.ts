import type { CatalogueDocument } from "../catalogue/catalogue_document.ts";
import type { ListedVm } from "../contracts/listed_vm.ts";
import type { Share } from "../limits/share.ts";
import { ShareLedger } from "../limits/share_ledger.ts";
import type { AssignmentRow } from "../shards/assignment_row.ts";
import { StragglerTracker } from "../shards/straggler_tracker.ts";
import { WarmUpTracker } from "../shards/warm_up_tracker.ts";
import { planDispatchers } from "./plan_dispatchers.ts";
import { planService } from "./plan_service.ts";
import type { PlannedWrite } from "./planned_write.ts";
import { regionFacts } from "./region_facts.ts";
import type { RegionService } from "./region_service.ts";
import { regionServices } from "./region_services.ts";
import type { RenewGrant } from "./renew_grant.ts";
import type { RenewParams } from "./renew_params.ts";
import type { RouterSession } from "./router_session.ts";
import { RouterSessions } from "./router_sessions.ts";
import { ServiceState } from "./service_state.ts";
import type { UpstreamFacts } from "./upstream_facts.ts";

type HeldRow = { revision: number; row: AssignmentRow };
type LeaseTerm = { epoch: number; acquiredAt: number };
type PlanInput = {
  now: number;
  catalogue: CatalogueDocument;
  vms: readonly ListedVm[];
  /** Known rows of other regions. */
  otherRegionRows: readonly HeldRow[];
  newWriteId: () => string;
};

// Time for all routers to report before the first dispatch terms are assigned,
// so that the first router to report does not get all of them.
const INITIAL_REPORT_WAIT_MS = 600;

/**
 * State and decisions of one coordinator from the acquisition of its lease to
 * the loss of it. All methods are synchronous, so that an answer and the record
 * of the dispatch lease that it grants are one step.
 */
export class CoordinatorTerm {
  readonly epoch: number;
  readonly #region: string;
  readonly #acquiredAt: number;
  readonly #ttlMs: number;
  readonly #sessions = new RouterSessions();
  readonly #shares: ShareLedger;
  readonly #services = new Map<string, ServiceState>();
  readonly #warmUp = new Map<string, WarmUpTracker>();
  readonly #stragglers = new Map<string, StragglerTracker>();

  /**
   * @param opts - the region; the lease; the TTL of dispatch leases in
   * milliseconds; the region's rows, read after the lease was acquired; the
   * catalogue in force, if any
   */
  constructor(opts: {
    region: string;
    lease: LeaseTerm;
    dispatchTtlMs: number;
    rows: readonly HeldRow[];
    catalogue: CatalogueDocument | undefined;
  }) {
    this.#region = opts.region;
    this.epoch = opts.lease.epoch;
    this.#acquiredAt = opts.lease.acquiredAt;
    this.#ttlMs = opts.dispatchTtlMs;
    this.#shares = new ShareLedger({ ...opts.lease, ttlMs: this.#ttlMs });
    const known = opts.catalogue === undefined
      ? new Map<string, RegionService>()
      : regionServices(opts.catalogue, opts.region);
    for (const { revision, row } of opts.rows) {
      const state = this.#serviceState(row.service);
      state.configure(known.get(row.service) ?? unservedService(row.service));
      state.inherit(revision, row, {
        since: this.#acquiredAt,
        ttlMs: this.#ttlMs,
      });
    }
  }

  /**
   * Records a router's report unless a newer one is known.
   *
   * @param report - the report
   * @param now - the coordinator's clock
   * @returns the session of the reporting process
   */
  accept(report: RenewParams, now: number): RouterSession {
    const { session, isNewest } = this.#sessions.accept(
      report,
      now,
      this.#ttlMs,
    );
    if (!isNewest) return session;
    this.#shares.accept(report, now);
    for (const state of this.#services.values()) {
      state.accept(report, { epoch: this.epoch, now });
    }
    return session;
  }

  /**
   * @param session - a router process
   * @returns whether a new answer would contain nothing that the router does
   * not already have
   */
  isUpToDate(session: RouterSession): boolean {
    const { report, answered } = session;
    return answered?.seq === report.answeredSeq &&
      report.coordinatorEpoch === this.epoch &&
      this.#newerRows(report).length === 0 &&
      answered.content === JSON.stringify(this.#instructionsFor(session));
  }

  /**
   * Renews the dispatch lease of a router.
   *
   * @param session - the router process
   * @param limits - the region's limits by entry
   * @param now - the coordinator's clock
   * @returns the answer to its newest report; it must be sent, since the lease
   * is recorded as granted
   */
  answer(
    session: RouterSession,
    limits: ReadonlyMap<string, Share>,
    now: number,
  ): RenewGrant {
    const instructions = this.#instructionsFor(session);
    const leaseUntil = now + this.#ttlMs;
    session.leaseUntil = leaseUntil;
    for (const { service, upstream } of instructions.tenures) {
      const term = this.#services.get(service)?.terms.get(upstream);
      if (term !== undefined) term.leaseUntil = leaseUntil;
    }
    session.answered = {
      seq: session.report.seq,
      content: JSON.stringify(instructions),
    };
    return {
      kind: "granted",
      coordinatorEpoch: this.epoch,
      ttlMs: this.#ttlMs,
      ...instructions,
      shares: this.#shares.grant(session.report, limits, now),
      rows: this.#newerRows(session.report),
    };
  }

  /**
   * Plans the next step of every service. Must not be called without store
   * contact: a release that starts here ends only with a write.
   *
   * @param input - what the plan depends on
   * @returns the writes to make; their services get no other write until
   * `onWriteSettled` is called for them
   */
  plan(input: PlanInput): PlannedWrite[] {
    const { now, catalogue, vms } = input;
    const scopes = regionServices(catalogue, this.#region);
    for (const service of scopes.keys()) this.#serviceState(service);
    const routers = this.#sessions.active(now);
    const allReported = now >= this.#acquiredAt + this.#ttlMs;
    const services = [...this.#services.values()].map((state) => {
      const scope = scopes.get(state.service) ?? unservedService(state.service);
      if (scopes.has(state.service)) state.configure(scope);
      const facts = regionFacts(state, {
        region: this.#region,
        out: catalogue.out,
        vms,
        routers,
        now,
        allReported,
      }).map((item) =>
        scopes.has(state.service) ? item : { ...item, out: true }
      );
      return { state, scope, facts };
    });
    if (now < this.#acquiredAt + INITIAL_REPORT_WAIT_MS) return [];
    const dispatchers = planDispatchers({
      services,
      routers,
      out: catalogue.out,
      vms,
      now,
    });

    const writes: PlannedWrite[] = [];
    for (const { state, scope, facts } of services) {
      if (
        state.hasPendingWrite ||
        (state.held === undefined && facts.length === 0)
      ) {
        continue;
      }
      const write = planService(state, {
        now,
        region: this.#region,
        epoch: this.epoch,
        writeId: input.newWriteId(),
        scope,
        upstreams: facts,
        weights: this.#weights(state.service, facts, now),
        caps: this.#caps(state, { scope, facts }, now),
        hotKeys: this.#hotKeys(state.service, routers),
        dispatchers: dispatchers.get(state.service) ?? new Map(),
        otherRegionRows: rowsOfOtherRegions(
          scope,
          this.#region,
          input.otherRegionRows,
        ),
      });
      if (write === undefined) continue;
      state.hasPendingWrite = true;
      writes.push(write);
    }
    return writes;
  }

  /**
   * Adopts a row that was committed in this term, or read back.
   *
   * @param held - the row and its revision
   * @param now - the coordinator's clock
   * @returns whether it is newer than the known row
   */
  adopt(held: HeldRow, now: number): boolean {
    return this.#serviceState(held.row.service).adopt(held.revision, held.row, {
      now,
      ttlMs: this.#ttlMs,
    });
  }

  /**
   * Allows the next write of a service.
   *
   * @param service - its name
   * @param outcome - `gainsBlocked`: the write conflicted with a row of another
   * region, so the next one assigns no shards that have no owner in this region
   */
  onWriteSettled(service: string, outcome: { gainsBlocked: boolean }): void {
    const state = this.#serviceState(service);
    state.hasPendingWrite = false;
    state.gainsBlocked = outcome.gainsBlocked;
  }

  /**
   * @param now - the coordinator's clock
   * @returns the next time at which a lease or a wait ends; Infinity if there
   * is none
   */
  nextDeadline(now: number): number {
    const times = [
      this.#acquiredAt + INITIAL_REPORT_WAIT_MS,
      this.#acquiredAt + this.#ttlMs,
    ];
    for (const state of this.#services.values()) {
      for (const term of state.terms.values()) {
        times.push(term.leaseUntil);
      }
      for (const [unit, move] of state.moves) {
        times.push(state.freeAt(unit, move.source));
      }
    }
    return Math.min(Infinity, ...times.filter((time) => time > now));
  }

  #serviceState(service: string): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state = new ServiceState(service);
    this.#services.set(service, state);
    return state;
  }

  #instructionsFor(
    session: RouterSession,
  ): Pick<RenewGrant, "tenures" | "endTenures" | "releases"> {
    const instructions: Pick<
      RenewGrant,
      "tenures" | "endTenures" | "releases"
    > = {
      tenures: [],
      endTenures: [],
      releases: [],
    };
    for (
      const { service, terms, moves, content } of this.#services.values()
    ) {
      for (const [upstream, term] of terms) {
        if (!term.belongsTo(session.vm, session.incarnation)) continue;
        const rowUpstream = content.upstreams.find((item) =>
          item.id === upstream
        );
        if (rowUpstream === undefined) continue;
        const { address } = rowUpstream;
        instructions.tenures.push({
          service,
          upstream,
          address,
          epoch: term.epoch,
        });
        if (term.ending) instructions.endTenures.push({ service, upstream });
        const units = [...moves]
          .filter(([, move]) => move.source === upstream)
          .map(([unit]) => unit);
        if (units.length > 0) {
          instructions.releases.push({ service, upstream, units });
        }
      }
    }
    return instructions;
  }

  #newerRows(report: RenewParams): RenewGrant["rows"] {
    return [...this.#services.values()].flatMap(({ service, held }) =>
      held !== undefined && held.revision > (report.rows[service] ?? 0)
        ? [held]
        : []
    );
  }

  #weights(
    service: string,
    facts: readonly UpstreamFacts[],
    now: number,
  ): Map<string, number> {
    const tracker = this.#stragglers.get(service) ?? new StragglerTracker();
    this.#stragglers.set(service, tracker);
    return tracker.weights(facts, now);
  }

  #caps(
    state: ServiceState,
    input: { scope: RegionService; facts: readonly UpstreamFacts[] },
    now: number,
  ): Map<string, number> {
    const tracker = this.#warmUp.get(state.service) ?? new WarmUpTracker();
    this.#warmUp.set(state.service, tracker);
    const counts = new Map<string, number>();
    for (const position of state.content.shards) {
      const id = state.content.upstreams[position]?.id;
      if (id !== undefined) counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const { facts, scope } = input;
    return tracker.caps({
      upstreams: facts.map(({ id, state: reported, out }) => ({
        id,
        state: reported,
        out,
        count: counts.get(id) ?? 0,
      })),
      own: scope.own.length,
      ratePerS: facts.reduce((sum, item) => sum + item.ratePerS, 0),
      coldStart: scope.coldStart,
    }, now);
  }

  #hotKeys(
    service: string,
    routers: readonly RouterSession[],
  ): RenewParams["hotKeys"] {
    return routers.flatMap((router) =>
      router.report.hotKeys.filter((key) => key.service === service)
    );
  }
}

/**
 * Returns the settings of a service that the region no longer serves, so that
 * all its units are released and its row becomes empty.
 */
function unservedService(name: string): RegionService {
  return {
    name,
    shards: 0,
    own: [],
    homeRegions: [],
    checksGrants: false,
    // Assumed, since the catalogue no longer contains the service's value.
    maxRunMs: 10_000,
    coldStart: { concurrency: 1, ratePerS: 10, rampMs: 1000 },
  };
}

function rowsOfOtherRegions(
  scope: RegionService,
  region: string,
  known: readonly HeldRow[],
): { key: string; revision: number; row: AssignmentRow | undefined }[] {
  const regions = new Set([
    ...scope.homeRegions,
    ...known.filter(({ row }) => row.service === scope.name)
      .map(({ row }) => row.region),
  ]);
  regions.delete(region);
  return [...regions].map((other) => {
    const held = known.find(({ row }) =>
      row.region === other && row.service === scope.name
    );
    return {
      key: `assignments/${other}/${scope.name}`,
      revision: held?.revision ?? 0,
      row: held?.row,
    };
  });
}
