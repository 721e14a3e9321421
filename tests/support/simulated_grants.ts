import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../../src/base/clock.ts";
import type { Grant } from "../../src/contracts/grant.ts";
import type { GrantState } from "../../src/contracts/grant_state.ts";
import type { UpstreamGrants } from "../../src/contracts/upstream_grants.ts";

/** Delays of one call in the network, in milliseconds. */
type Delivery = {
  /** Delay of the request to the upstream; `Infinity` loses it. */
  requestMs: number;
  /** Delay of the answer to the router; `Infinity` loses it. */
  responseMs: number;
  /** Delay of a second delivery of the request, if there is one. */
  repeatMs?: number;
};

/** Simulates the grants of an upstream that has its own clock. */
export class SimulatedGrants implements UpstreamGrants {
  /** Delays of the next calls, in order; later calls have none. */
  deliveries: Delivery[] = [];
  /** Time on the upstream's clock at time 0 of the router, in milliseconds. */
  clockOffset = 100_000;
  held: Grant = {
    epoch: 1,
    seq: 0,
    dispatcher: "none",
    units: [],
    expiresAt: 0,
  };
  readonly puts: Grant[] = [];
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns whether the upstream would serve the unit now. */
  serves(unit: string): boolean {
    return this.held.units.includes(unit) && this.#now() < this.held.expiresAt;
  }

  read(): ReturnType<UpstreamGrants["read"]> {
    return new ResultAsync(this.#deliver(() => okAsync(this.#state())));
  }

  put(_address: string, grant: Grant): ReturnType<UpstreamGrants["put"]> {
    this.puts.push(grant);
    return new ResultAsync(this.#deliver(() => {
      const { epoch, seq } = this.held;
      const newer = grant.epoch > epoch ||
        (grant.epoch === epoch && grant.seq > seq);
      if (!newer) return errAsync({ kind: "superseded", state: this.#state() });
      this.held = grant;
      return okAsync(this.#state());
    }));
  }

  #now(): number {
    return this.#clock.now() + this.clockOffset;
  }

  #state(): GrantState {
    return { ...this.held, now: this.#now() };
  }

  async #deliver<T>(handle: () => PromiseLike<T>): Promise<T> {
    const { requestMs, responseMs, repeatMs } = this.deliveries.shift() ??
      { requestMs: 0, responseMs: 0 };
    if (repeatMs !== undefined) void this.#clock.sleep(repeatMs).then(handle);
    if (requestMs === Infinity) return new Promise(() => undefined);
    if (requestMs > 0) await this.#clock.sleep(requestMs);
    const answer = await handle();
    if (responseMs === Infinity) return new Promise(() => undefined);
    if (responseMs > 0) await this.#clock.sleep(responseMs);
    return answer;
  }
}
