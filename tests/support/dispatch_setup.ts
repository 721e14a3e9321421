import { text } from "node:stream/consumers";
import { CatalogueView } from "../../src/catalogue/catalogue_view.ts";
import { CatalogueRow } from "../../src/catalogue/catalogue_row.ts";
import type { RenewGrant } from "../../src/regions/renew_grant.ts";
import { AssignmentRow } from "../../src/shards/assignment_row.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import type { DispatchRequest } from "../../src/upstreams/dispatch_request.ts";
import { DispatcherPool } from "../../src/upstreams/dispatcher_pool.ts";
import { ManualClock } from "./manual_clock.ts";
import { ScriptedReports } from "./scripted_reports.ts";
import { ScriptedUpstream } from "./scripted_upstream.ts";
import { SimulatedGrants } from "./simulated_grants.ts";

type Setup = {
  slots?: number;
  connections?: number;
  queue?: number;
  checksGrants?: boolean;
  health?: ScriptedReports["answer"];
};

const CLOCK_STEP_MS = 10;
/** Default duration of leases and deadlines, too long for a test to reach. */
const UNREACHED_TIMEOUT_MS = 1_000_000;
/** Shards 0 and 1 of four belong to upstream `a`, the others to `b`. */
const SHARDS = [0, 0, 1, 1];

/** One router that is the dispatcher of a scripted upstream `a`. */
export class DispatchSetup {
  readonly clock = new ManualClock();
  readonly upstream = new ScriptedUpstream();
  readonly reports = new ScriptedReports();
  readonly grants = new SimulatedGrants(this.clock);
  readonly assignments = new AssignmentView();
  readonly pool: DispatcherPool;
  leaseMs = UNREACHED_TIMEOUT_MS;
  readonly #end = new AbortController();

  private constructor(setup: Setup) {
    this.reports.answer = setup.health ?? this.reports.answer;
    const catalogue = new CatalogueView();
    catalogue.adopt(CatalogueRow.parse({
      schema: 1,
      version: 1,
      author: "test",
      at: "",
      writeId: "1",
      document: {
        schema: 1,
        services: {
          records: {
            shards: SHARDS.length,
            slots: setup.slots ?? 2,
            connections: setup.connections ?? 10,
            queue: setup.queue ?? 64,
          },
        },
        entries: {
          records: {
            owner: "owner",
            class: "interactive",
            service: "records",
            match: { pathPrefix: "/" },
            keySource: { kind: "path", segment: 0 },
            homeRegions: ["sierra"],
            idempotent: true,
            checksGrants: setup.checksGrants ?? false,
            limits: { ratePerS: 1, concurrency: 1 },
          },
        },
      },
    }));
    const quiet = () => undefined;
    const logger = { debug: quiet, info: quiet, warn: quiet, error: quiet };
    this.pool = new DispatcherPool({
      vm: "x",
      region: "sierra",
      clock: this.clock,
      logger: { ...logger, child: quiet } as never,
      metrics: { increment: quiet, gauge: quiet, timing: quiet },
      catalogue,
      assignments: this.assignments,
      reports: this.reports,
      grants: this.grants,
      timing: { grantRenewMs: 500, healthPollMs: 500 },
      signal: this.#end.signal,
    });
  }

  /**
   * Starts the upstream and the dispatch term.
   *
   * @param test - the test that uses it; everything is closed when it ends
   * @param setup - the service, and the upstream's first health answer
   */
  static async start(
    test: { after: (end: () => Promise<void>) => void },
    setup: Setup = {},
  ): Promise<DispatchSetup> {
    const created = new DispatchSetup(setup);
    test.after(() => created.#close());
    await created.upstream.listen();
    created.adoptRow(1);
    created.applyGrant();
    await created.clock.advance(0);
    return created;
  }

  async #close(): Promise<void> {
    this.#end.abort();
    await this.upstream.stopListening();
  }

  /**
   * Advances the clock in steps of 10 ms until `done` settles, so that network
   * traffic can proceed between the steps.
   */
  async advanceUntil<T>(done: Promise<T>): Promise<T> {
    const progress = { ended: false };
    void done.finally(() => progress.ended = true);
    while (!progress.ended) await this.clock.advance(CLOCK_STEP_MS);
    return done;
  }

  /** Adopts an assignment row. */
  adoptRow(revision: number, change: Partial<AssignmentRow> = {}): void {
    this.assignments.adopt(
      revision,
      AssignmentRow.parse({
        schema: 1,
        service: "records",
        region: "sierra",
        coordinatorEpoch: 1,
        writeId: String(revision),
        upstreams: [
          { id: "a", address: this.upstream.address, failureDomain: "d" },
          { id: "b", address: "127.0.0.1:1", failureDomain: "d" },
        ],
        shards: SHARDS,
        tenures: { a: { vm: "x", epoch: 7 } },
        pins: {},
        ...change,
      }),
    );
  }

  /** Applies a coordinator's answer. */
  applyGrant(change: Partial<RenewGrant> = {}): void {
    this.pool.applyGrant({
      kind: "granted",
      coordinatorEpoch: 1,
      ttlMs: 2000,
      tenures: [{
        service: "records",
        upstream: "a",
        address: this.upstream.address,
        epoch: 7,
      }],
      endTenures: [],
      releases: [],
      shares: [],
      rows: [],
      ...change,
    }, this.clock.now() + this.leaseMs);
  }

  /** Applies a coordinator's answer with units of `a` to release. */
  applyReleases(units: string[], change: Partial<RenewGrant> = {}): void {
    this.applyGrant({
      releases: [{ service: "records", upstream: "a", units }],
      ...change,
    });
  }

  /** Sends a request whose key is in shard 0, unless `change` sets a digest. */
  async send(
    change: Partial<DispatchRequest> = {},
    signal = new AbortController().signal,
  ): ReturnType<DispatcherPool["dispatch"]> {
    return this.pool.dispatch({
      requestId: "r1",
      entry: "records",
      class: "interactive",
      service: "records",
      upstream: "a",
      digest: "0000000000000000",
      idempotent: true,
      checksGrants: false,
      rowRevision: 1,
      deadlineAt: this.clock.now() + UNREACHED_TIMEOUT_MS,
      method: "GET",
      target: "/k?q=1",
      headers: {},
      body: undefined,
      ...change,
    }, signal);
  }

  /**
   * Sends a request and describes the outcome in one line: the refusal's code
   * and outcome, or the status and the body, or `<status> truncated` if the
   * body was truncated.
   */
  async outcome(
    change: Partial<DispatchRequest> = {},
    signal?: AbortSignal,
  ): Promise<string> {
    const outcome = await this.send(change, signal);
    if (outcome.kind === "refused") {
      return `${outcome.refusal.code} ${outcome.refusal.outcome}`;
    }
    return text(outcome.body).then(
      (body) => `${outcome.status} ${body}`,
      () => `${outcome.status} truncated`,
    );
  }
}
