import type { Unit } from "../shards/unit.ts";
import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { UpstreamExchange } from "./upstream_exchange.ts";

type Progress =
  | { kind: "queued" }
  | { kind: "connecting" }
  | { kind: "sent"; at: number; runEndsAt: number }
  | { kind: "answered"; runEndsAt: number };

/** One request inside a dispatcher, from acceptance to the end of its answer. */
export class DispatchJob {
  readonly req: DispatchRequest;
  /** The caller went away. */
  readonly signal: AbortSignal;
  /** Resolves with what the caller of `dispatch` is told. */
  readonly outcome: Promise<DispatchOutcome>;
  unit: Unit | undefined;
  progress: Progress = { kind: "queued" };
  exchange: UpstreamExchange | undefined;
  #settle: (outcome: DispatchOutcome) => void = () => undefined;

  /**
   * @param req - the request
   * @param unit - unit through which the upstream owns the key
   * @param signal - the caller went away
   */
  constructor(
    req: DispatchRequest,
    unit: Unit | undefined,
    signal: AbortSignal,
  ) {
    this.req = req;
    this.unit = unit;
    this.signal = signal;
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  /**
   * @returns class of the request, which decides its place in the queue
   */
  get class(): DispatchRequest["class"] {
    return this.req.class;
  }

  /**
   * @param outcome - what the caller is told; only the first call counts
   */
  settle(outcome: DispatchOutcome): void {
    this.#settle(outcome);
  }

  /**
   * @param unit - a shard or a pinned key
   * @returns whether the request is for a key of it
   */
  concerns(unit: Unit): boolean {
    return this.unit === unit || `pin:${this.req.digest}` === unit;
  }
}
