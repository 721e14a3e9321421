import type { DomainBalance } from "../balance/domain_balance.ts";
import type { Clock } from "../base/clock.ts";
import { ByteBudget } from "../limits/byte_budget.ts";
import type { UpstreamConnection } from "../upstreams/upstream_connection.ts";
import { attempt } from "./attempt.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { CallState } from "./call_state.ts";
import { connectionLimit } from "./connection_limit.ts";
import type { DirectMetrics } from "./direct_metrics.ts";
import type { FleetView } from "./fleet_view.ts";
import { judgeResult } from "./judge_result.ts";
import type { Upstream } from "./upstream.ts";
import type { WireProtocol } from "./wire_protocol.ts";
import type { WorkTimes } from "./work_times.ts";

type Options = {
  view: FleetView;
  work: WorkTimes;
  protocol: WireProtocol;
  clock: Clock;
  metrics: DirectMetrics;
  /**
   * @returns milliseconds since the registry was last known to be current
   */
  registryAgeMs: () => number;
  balance?: DomainBalance;
};

/** Room for three answers of the largest size. */
const ANSWER_MEMORY_BYTES = 48 * 1024 * 1024;

/** Sends requests to upstreams and updates the estimates from the results. */
export class UpstreamSender {
  readonly #opts: Options;
  readonly #answerMemory = new ByteBudget(ANSWER_MEMORY_BYTES);

  /**
   * @param opts - view of the deployment, estimates, protocol and metrics
   */
  constructor(opts: Options) {
    this.#opts = opts;
  }

  /**
   * Sends a request to one upstream.
   *
   * @param state - the request; the attempt is recorded in it
   * @param upstream - the upstream
   * @param disconnected - aborts when the caller disconnects
   * @returns the upstream and the result of the attempt
   */
  async send(
    state: CallState,
    upstream: Upstream,
    disconnected: AbortSignal,
  ): Promise<{ upstream: Upstream; result: AttemptResult }> {
    const { clock, view, protocol, metrics } = this.#opts;
    const { call, route, service, deadlineAt } = state;
    const policy = view.policy(service);
    state.tried.add(upstream);
    state.sends++;
    this.#opts.balance?.onSent(service, upstream.entry.failureDomain);
    const sentAt = clock.now();
    const workMs = this.#opts.work.mean(route);
    const expected = upstream.load.expectedTimes(workMs, sentAt);
    const expectedMs = Math.round(expected.waitMs + expected.runMs);
    state.steps.push(
      `to ${upstream.entry.id} after ${
        Math.round(sentAt - call.receivedAt)
      } ms:` +
        ` ${expectedMs} ms expected, ${upstream.load.describe(sentAt)},` +
        ` registry ${Math.round(this.#opts.registryAgeMs())} ms old`,
    );
    const result = await attempt({
      call,
      upstream,
      idempotent: route.idempotent,
      protocol,
      clock,
      deadlineAt,
      maxConnections: connectionLimit(
        policy ?? { maxConnections: 0 },
        view.vms,
      ),
      sentOn: state.sentOn,
      mayStillSend: () => view.mayStillSend(upstream, state.keyed),
      onSent: (connection) => {
        state.sentOn.add(connection);
        this.#recordWrite(state, upstream, connection);
      },
      answerMemory: this.#answerMemory,
      // A non-idempotent request is not aborted when its caller disconnects,
      // since it would then be unknown whether the request has run.
    }, route.idempotent ? disconnected : new AbortController().signal);
    const now = clock.now();
    const { kind } = judgeResult(result);
    metrics.attempts.inc({ service, result: kind });
    if (disconnected.aborted) return { upstream, result };
    if (kind !== "misdirected" && kind !== "not_sent") {
      upstream.failures.onResult(kind !== "deliver", now);
    }
    if (kind === "deliver" && expected.waitMs === 0) {
      this.#updateEstimates(state, upstream, result, now - sentAt);
    }
    if (result.kind === "lost" && now >= deadlineAt) {
      // The deadline cut the measurement short: the elapsed time is a lower
      // bound of what the request would have taken.
      const ratio = (now - sentAt) / (expected.waitMs + expected.runMs);
      if (ratio > 1) {
        upstream.load.onWorkTimed(
          ratio * upstream.load.unreportedSlowdown(now),
          now,
        );
      }
    }
    return { upstream, result };
  }

  #recordWrite(
    { call, service, steps }: CallState,
    upstream: Upstream,
    connection: UpstreamConnection,
  ): void {
    const { clock, view, metrics } = this.#opts;
    const afterMs = Math.round(clock.now() - call.receivedAt);
    const leavingMs = view.leavingMs(upstream);
    const leaving = leavingMs > 0
      ? `, leaving for ${Math.round(leavingMs)} ms`
      : "";
    steps.push(
      `sent on connection ${connection.number} after ${afterMs} ms${leaving}`,
    );
    if (leavingMs > 0) {
      metrics.leavingSends.observe({ service }, leavingMs / 1000);
    }
  }

  #updateEstimates(
    { route }: CallState,
    upstream: Upstream,
    result: AttemptResult,
    elapsedMs: number,
  ): void {
    const now = this.#opts.clock.now();
    if (result.kind !== "answered" || upstream.warmUp.isCold(now)) return;
    const normalizedMs = elapsedMs / (result.answer.load?.slowdown ?? 1);
    const ratio = normalizedMs / this.#opts.work.mean(route);
    this.#opts.work.onTimed(
      route,
      normalizedMs / upstream.load.unreportedSlowdown(now),
    );
    upstream.load.onWorkTimed(ratio, now);
  }
}
