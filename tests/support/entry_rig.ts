import type { Clock } from "../../src/base/clock.ts";
import { systemClock } from "../../src/base/system_clock.ts";
import type { Entry } from "../../src/catalogue/entry.ts";
import { Attempts } from "../../src/entry/attempts.ts";
import { CallerListener } from "../../src/entry/caller_listener.ts";
import { UpstreamChooser } from "../../src/entry/upstream_chooser.ts";
import { ExpiryTimer } from "../../src/entry/expiry_timer.ts";
import { HoldQueue } from "../../src/entry/hold_queue.ts";
import { Router } from "../../src/entry/router.ts";
import { RetryBudget } from "../../src/limits/retry_budget.ts";
import { ShareHolder } from "../../src/limits/share_holder.ts";
import { HopClients } from "../../src/links/hop_clients.ts";
import { HopServer } from "../../src/links/hop_server.ts";
import { PeerListener } from "../../src/links/peer_listener.ts";
import { AssignmentView } from "../../src/shards/assignment_view.ts";
import type { Dispatching } from "../../src/upstreams/dispatching.ts";
import { MemberView } from "../../src/vms/member_view.ts";
import type { StoreMode } from "../../src/vms/store_mode.ts";
import { testCatalogue } from "./test_catalogue.ts";

const CREDENTIAL = "peer-credential";

/**
 * Runs a router `r1` in `sierra` that handles callers' requests with the local
 * dispatchers, and a router `r2` that it reaches over a peer hop. The given
 * fakes stand in for the dispatchers of both.
 */
export class EntryRig {
  readonly clock: Clock;
  readonly assignments = new AssignmentView();
  readonly members = new MemberView();
  readonly stopping = new AbortController();
  readonly hold: HoldQueue;
  readonly attempts: Attempts;
  readonly listener: CallerListener;
  readonly peer: PeerListener;
  /** Refusal codes of requests that could not be parsed. */
  readonly unparsedCodes: (string | undefined)[] = [];
  mode: StoreMode = "current";
  ready = true;
  /** Requests whose share of the limits was released. */
  released = 0;
  /** Requests that the limits admitted. */
  admitted = 0;
  port = 0;

  constructor(opts: {
    local: Dispatching;
    remote?: Dispatching;
    entry?: Entry;
    clock?: Clock;
    maxHeld?: number;
    requests?: Partial<
      Record<
        "maxHeaderBytes" | "headersTimeoutMs" | "bodyPauseMs" | "replayBytes",
        number
      >
    >;
  }) {
    const clock = opts.clock ?? systemClock;
    this.clock = clock;
    const entry = opts.entry ?? testCatalogue.entry();
    const requests = {
      maxHeaderBytes: 16384,
      headersTimeoutMs: 5000,
      bodyPauseMs: 5000,
      replayBytes: 65536,
      ...opts.requests,
    };
    const { assignments, members } = this;
    this.hold = new HoldQueue({
      clock,
      assignments,
      maxHeld: opts.maxHeld ?? 1000,
    });
    const budget = new RetryBudget(clock);
    const hops = new HopClients({
      clock,
      members,
      credential: CREDENTIAL,
      signal: this.stopping.signal,
    });
    this.attempts = new Attempts({
      clock,
      vm: "r1",
      assignments,
      chooser: new UpstreamChooser({
        clock,
        region: "sierra",
        assignments,
        members,
        random: Math.random,
      }),
      local: opts.local,
      remote: (vm) => hops.get(vm),
      budget,
      holdQueue: this.hold,
      maxHoldMs: 5000,
    });
    const shares = new ShareHolder(clock, this.stopping.signal);
    shares.apply(
      [{ entry: "e", ratePerS: 1e6, concurrency: 1e6 }],
      Number.POSITIVE_INFINITY,
    );
    const router = new Router({
      load: { overloaded: false },
      clock,
      timer: new ExpiryTimer(clock, this.stopping.signal),
      contact: { mode: () => this.mode },
      catalogue: testCatalogue.view(entry),
      shares: {
        admit: async (name, opts) => {
          const permit = await shares.admit(name, opts);
          return permit.map(({ release }) => {
            this.admitted++;
            return {
              release: () => {
                release();
                this.released++;
              },
            };
          });
        },
      },
      budget,
      attempts: this.attempts,
      requests,
    });
    this.listener = new CallerListener({
      clock,
      requests,
      router,
      isReady: () => this.ready,
      readinessDelayMs: 0,
      logger: { error: (...args) => void this.loggedErrors.push(args) },
      onUnparsableRequest: (code) => void this.unparsedCodes.push(code),
    });
    this.peer = new PeerListener({
      clock,
      requests,
      rpc: (_, res) => res.end("rpc"),
      logger: { error: (...args) => void this.loggedErrors.push(args) },
      hop: new HopServer({
        clock,
        region: "sierra",
        findEntry: (name) => name === "e" ? entry : undefined,
        local: opts.remote ?? opts.local,
        credential: CREDENTIAL,
        signal: this.stopping.signal,
      }),
    });
  }

  readonly loggedErrors: unknown[] = [];

  /** Starts both listeners on ports chosen by the system. */
  async start(): Promise<this> {
    this.port = await this.listener.listen("127.0.0.1:0");
    const peerPort = await this.peer.listen("127.0.0.1:0");
    for (const [vm, port] of [["r1", 1], ["r2", peerPort]] as const) {
      this.members.set(vm, {
        schema: 1,
        vm,
        incarnation: "i",
        region: "sierra",
        failureDomain: "d1",
        peerUrl: `http://127.0.0.1:${port}`,
        witnesses: [],
      });
    }
    return this;
  }

  /** The URL of the callers' listener. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Closes both listeners and all connections at once. */
  stop(): void {
    this.stopping.abort();
    this.listener.close();
    this.peer.close();
  }
}
