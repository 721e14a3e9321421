import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../../src/base/clock.ts";
import type { Grant } from "../../src/contracts/grant.ts";
import type { GrantState } from "../../src/contracts/grant_state.ts";
import type { ServerGrants } from "../../src/contracts/server_grants.ts";

/** What the network does with one call. */
type Delivery = {
  /** Time until the upstream gets the message; `Infinity` loses it. */
  requestMs: number;
  /** Time until the router gets the answer; `Infinity` loses it. */
  responseMs: number;
  /** Time until the upstream gets the message once more. */
  repeatMs?: number;
};

/** The grant side of an upstream, with a clock of its own. */
export class SimulatedGrants implements ServerGrants {
  /** What the network does with the next calls, in order. */
  deliveries: Delivery[] = [];
  /** Reading of the upstream's clock at time 0 of the router. */
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

  /** Whether the upstream would serve the unit now. */
  serves(unit: string): boolean {
    return this.held.units.includes(unit) && this.#now() < this.held.expiresAt;
  }

  read(): ReturnType<ServerGrants["read"]> {
    return new ResultAsync(this.#deliver(() => okAsync(this.#state())));
  }

  put(_address: string, grant: Grant): ReturnType<ServerGrants["put"]> {
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
