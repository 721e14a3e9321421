import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { GrantState } from "../contracts/grant_state.ts";
import type { UpstreamGrants } from "../contracts/upstream_grants.ts";
import type { Unit } from "../shards/unit.ts";
import { ChildAbort } from "./child_abort.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  /** This router's VM. */
  dispatcher: string;
  epoch: number;
  grants: UpstreamGrants;
  clock: Clock;
  logger: Logger;
  /** Interval between renewals, in milliseconds. */
  renewMs: number;
  /** Returns the units to include in the next grant. */
  units: () => Unit[];
  /** Returns the end of the dispatch lease on this router's clock. */
  leaseEndsAt: () => number;
  /**
   * Returns the next sequence number. All grants of this process share one
   * sequence, so a resumed dispatch term never repeats a number.
   *
   * @param above - the result is greater than this
   */
  nextSeq: (above: number) => number;
  /** Called when the upstream holds a grant of a later dispatch term. */
  onSuperseded: () => void;
  /** Called after each attempt to renew the grant, successful or not. */
  onChange: () => void;
};
type ClockReading = {
  /** Time on the upstream's clock. */
  upstreamNow: number;
  /** Local time before and after the upstream read its clock. */
  sentAt: number;
  receivedAt: number;
};

const GRANT_TTL_MS = 2000;
/** A grant computed from an older reading would expire too soon. */
const MAX_READING_AGE_MS = 1000;
const CALL_TIMEOUT_MS = 500;
const RENEW_RETRY_DELAY_MS = 100;
/** A larger deviation between two readings means that the clock restarted. */
const MIN_CLOCK_JUMP_MS = 500;

/**
 * Renews the grant at one upstream during one dispatch term. The grant lists
 * the units that the upstream may serve and expires by the upstream's clock.
 */
export class GrantRenewer {
  readonly #options: Options;
  readonly #wake = new ChangeNotifier();
  #reading: ClockReading | undefined;
  /** Highest sequence number that the upstream has reported for this epoch. */
  #seqFloor = -1;
  /**
   * Units of the last acknowledged grant, and the local time until which the
   * upstream certainly holds it.
   */
  #acknowledged: { units: ReadonlySet<Unit>; until: number } = {
    units: new Set(),
    until: -Infinity,
  };
  /** Local time until which the upstream may hold a grant, by unit. */
  readonly #mayHoldUntil = new Map<Unit, number>();
  /** Units of the last completed attempt, acknowledged or not. */
  #attempted: ReadonlySet<Unit> | undefined;
  /** The units have changed since the last grant was composed. */
  #unitsOutdated = false;

  /**
   * @param options - the upstream, the dispatch term and its units
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /** Renews the grant at once, because its units have changed. */
  renewNow(): void {
    this.#unitsOutdated = true;
    this.#wake.notify();
  }

  /** Discards the clock reading: the upstream and its clock may have restarted. */
  discardClockReading(): void {
    this.#reading = undefined;
  }

  /**
   * @param unit - a unit
   * @returns whether the upstream certainly holds a grant for the unit now
   */
  holdsGrant(unit: Unit): boolean {
    return this.#acknowledged.units.has(unit) &&
      this.#options.clock.now() < this.#acknowledged.until;
  }

  /**
   * @param unit - a unit that is no longer to be granted
   * @returns whether an attempt to replace the grant by one without the unit
   * has completed, successful or not
   */
  revocationAttempted(unit: Unit): boolean {
    return this.#attempted !== undefined && !this.#attempted.has(unit);
  }

  /**
   * @param unit - a unit
   * @returns milliseconds after which the upstream certainly holds no grant for
   * the unit, unless it is granted again
   */
  remainingMs(unit: Unit): number {
    const until = this.#mayHoldUntil.get(unit);
    return until === undefined
      ? 0
      : Math.max(0, until - this.#options.clock.now());
  }

  /**
   * Renews the grant until the dispatch term ends.
   *
   * @param signal - aborts when the dispatch term ends
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, renewMs, onChange } = this.#options;
    const ended = () => signal.aborted;
    while (!ended()) {
      this.#unitsOutdated = false;
      const renewed = await this.#renew(signal);
      if (ended()) return;
      onChange();
      // `renewNow` may have been called meanwhile, also by `onChange`.
      if (renewed && this.#unitsChanged()) continue;
      const pause = new ChildAbort(signal);
      await Promise.race([
        clock.sleep(renewed ? renewMs : RENEW_RETRY_DELAY_MS, pause.signal),
        // A failed attempt is retried only after the delay.
        renewed ? this.#wake.next(pause.signal) : new Promise(() => undefined),
      ]);
      pause.abort();
    }
  }

  #unitsChanged(): boolean {
    return this.#unitsOutdated;
  }

  async #renew(signal: AbortSignal): Promise<boolean> {
    const { address, clock, epoch, grants } = this.#options;
    if (clock.now() >= this.#options.leaseEndsAt()) return this.#onFailed();
    const age = clock.now() - (this.#reading?.receivedAt ?? -Infinity);
    if (age > MAX_READING_AGE_MS) {
      const sentAt = clock.now();
      const read = await this.#call(signal, (s) => grants.read(address, s));
      if (read?.isOk() !== true) return this.#onFailed();
      this.#updateReading(read.value, sentAt);
    }
    const reading = this.#reading;
    const sentAt = clock.now();
    const leaseLeft = this.#options.leaseEndsAt() -
      (reading?.receivedAt ?? Infinity);
    const ttl = Math.min(GRANT_TTL_MS, leaseLeft);
    if (
      reading === undefined || reading.receivedAt + ttl <= sentAt
    ) return this.#onFailed();
    // Read after the last `await`: a unit that was released during it must not
    // be granted again.
    const units = this.#options.units();
    // The upstream read its clock between `sentAt` and `receivedAt`, so the
    // grant expires between `sentAt + ttl` and `receivedAt + ttl`.
    const until = reading.receivedAt + ttl;
    for (const unit of units) {
      const previousUntil = this.#mayHoldUntil.get(unit) ?? -Infinity;
      this.#mayHoldUntil.set(unit, Math.max(previousUntil, until));
    }
    // The upstream may apply the grant although its answer is lost, so until
    // it is acknowledged only units of both grants count as held.
    const certainUntil = reading.sentAt + ttl;
    this.#acknowledged = {
      units: new Set(
        units.filter((unit) => this.#acknowledged.units.has(unit)),
      ),
      until: Math.min(this.#acknowledged.until, certainUntil),
    };
    const expiresAt = reading.upstreamNow + ttl;
    const seq = this.#options.nextSeq(this.#seqFloor);
    const put = await this.#call(signal, (s) =>
      grants.put(address, {
        epoch,
        seq,
        dispatcher: this.#options.dispatcher,
        units,
        expiresAt,
      }, s));
    if (put === undefined) return this.#onFailed();
    if (put.isErr()) {
      if (put.error.kind === "superseded") {
        return this.#onSuperseded(put.error.state, sentAt);
      }
      return this.#onFailed();
    }
    const jumped = this.#updateReading(put.value, sentAt);
    this.#onAccepted(units, certainUntil, until);
    if (jumped) {
      // The upstream restarted. The grant was computed from its previous clock
      // and is replaced by one computed from the new clock.
      const leftMs = Math.max(0, expiresAt - put.value.now);
      for (const unit of units) {
        this.#mayHoldUntil.set(unit, clock.now() + leftMs);
      }
      this.#unitsOutdated = true;
    }
    return true;
  }

  #onAccepted(
    units: Unit[],
    certainUntil: number,
    possibleUntil: number,
  ): void {
    this.#acknowledged = { units: new Set(units), until: certainUntil };
    this.#attempted = this.#acknowledged.units;
    // The upstream now refuses every earlier sequence number, so delayed grants
    // have no effect.
    this.#mayHoldUntil.clear();
    for (const unit of units) this.#mayHoldUntil.set(unit, possibleUntil);
  }

  #onSuperseded(state: GrantState, sentAt: number): boolean {
    if (state.epoch > this.#options.epoch) {
      this.#options.logger.warn(
        { address: this.#options.address, epoch: state.epoch },
        "upstream holds a grant of a later dispatch term; ending this one",
      );
      this.#options.onSuperseded();
      return false;
    }
    // A repeated or delayed message of this dispatch term arrived before.
    this.#seqFloor = Math.max(this.#seqFloor, state.seq);
    this.#updateReading(state, sentAt);
    return this.#onFailed();
  }

  #onFailed(): boolean {
    this.#attempted = new Set(this.#options.units());
    return false;
  }

  /** Stores a clock reading; returns whether the upstream's clock restarted. */
  #updateReading(state: GrantState, sentAt: number): boolean {
    const receivedAt = this.#options.clock.now();
    const last = this.#reading;
    this.#reading = { upstreamNow: state.now, sentAt, receivedAt };
    if (state.epoch === this.#options.epoch) {
      this.#seqFloor = Math.max(this.#seqFloor, state.seq);
    }
    if (last === undefined) return false;
    const passed = state.now - last.upstreamNow;
    return passed < sentAt - last.receivedAt - MIN_CLOCK_JUMP_MS ||
      passed > receivedAt - last.sentAt + MIN_CLOCK_JUMP_MS;
  }

  /** Returns undefined if no answer arrived within the timeout. */
  async #call<T>(
    signal: AbortSignal,
    call: (signal: AbortSignal) => PromiseLike<T>,
  ): Promise<T | undefined> {
    const step = new ChildAbort(signal);
    const result = await Promise.race([
      call(step.signal),
      this.#options.clock.sleep(CALL_TIMEOUT_MS, step.signal)
        .then(() => undefined),
    ]);
    step.abort();
    return signal.aborted ? undefined : result;
  }
}
