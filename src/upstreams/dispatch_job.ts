import type { Unit } from "../shards/unit.ts";
import type { DispatchOutcome } from "./dispatch_outcome.ts";
import type { DispatchRequest } from "./dispatch_request.ts";
import type { UpstreamExchange } from "./upstream_exchange.ts";

type Progress =
  | { kind: "queued" }
  | { kind: "connecting" }
  | { kind: "sent"; at: number; runEndsAt: number }
  | { kind: "answered"; runEndsAt: number };

/** A request in a dispatcher, from acceptance to the end of its answer. */
export class DispatchJob {
  readonly req: DispatchRequest;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Resolves with the result of the attempt. */
  readonly outcome: Promise<DispatchOutcome>;
  /** Unit through which the upstream owns the key; undefined without a key. */
  unit: Unit | undefined;
  progress: Progress = { kind: "queued" };
  exchange: UpstreamExchange | undefined;
  #resolveOutcome: (outcome: DispatchOutcome) => void = () => undefined;

  /**
   * @param req - the request
   * @param unit - unit through which the upstream owns the key
   * @param signal - aborts when the caller disconnects
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
      this.#resolveOutcome = resolve;
    });
  }

  /**
   * @returns class of the request, which decides its place in the queue
   */
  get class(): DispatchRequest["class"] {
    return this.req.class;
  }

  /**
   * Resolves `outcome`. Calls after the first have no effect.
   *
   * @param outcome - result of the attempt
   */
  resolveOutcome(outcome: DispatchOutcome): void {
    this.#resolveOutcome(outcome);
  }

  /**
   * @param unit - a shard or a pinned key
   * @returns whether the request's key is part of the unit
   */
  concerns(unit: Unit): boolean {
    return this.unit === unit || `pin:${this.req.digest}` === unit;
  }
}
