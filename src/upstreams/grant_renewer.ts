import { ChangeNotifier } from "../base/change_notifier.ts";
import type { Clock } from "../base/clock.ts";
import type { Logger } from "../base/logger.ts";
import type { GrantState } from "../contracts/grant_state.ts";
import type { ServerGrants } from "../contracts/server_grants.ts";
import type { Unit } from "../shards/unit.ts";
import { ChildAbort } from "./child_abort.ts";

type Options = {
  /** `ip:port` of the upstream. */
  address: string;
  /** This router's VM. */
  dispatcher: string;
  epoch: number;
  grants: ServerGrants;
  clock: Clock;
  logger: Logger;
  renewMs: number;
  /** Units that the next grant is to contain. */
  units: () => Unit[];
  /** End of the dispatch lease on this router's clock. */
  leaseEndsAt: () => number;
  /**
   * Next sequence number; shared by all grants of this process, so that a
   * dispatch term that is resumed never repeats one.
   *
   * @param above - the result is greater than this
   */
  nextSeq: (above: number) => number;
  /** The upstream holds a grant of a later dispatch term. */
  onSuperseded: () => void;
  /** Granted units have changed, or an attempt to change them has ended. */
  onChange: () => void;
};
type Reading = {
  upstreamNow: number;
  /** Local time before and after the reading was taken. */
  sentAt: number;
  receivedAt: number;
};

const GRANT_TTL_MS = 2000;
/** A grant based on an older reading would leave too little time. */
const MAX_READING_AGE_MS = 1000;
const CALL_TIMEOUT_MS = 500;
const RETRY_MS = 100;
/** Difference of readings that only a restarted clock explains. */
const CLOCK_JUMP_MS = 500;

/** Keeps the grant of one upstream renewed during one dispatch term. */
export class GrantRenewer {
  readonly #options: Options;
  readonly #wake = new ChangeNotifier();
  #reading: Reading | undefined;
  #seqFloor = -1;
  /** Units of the last confirmed grant, and until when it certainly holds. */
  #confirmed: { units: ReadonlySet<Unit>; until: number } = {
    units: new Set(),
    until: -Infinity,
  };
  /** Until when the upstream may hold a grant for a unit, local time. */
  readonly #possibleUntil = new Map<Unit, number>();
  /** Units of the last attempt that has ended, confirmed or not. */
  #attempted: ReadonlySet<Unit> | undefined;
  /** The units changed after the last grant was put together. */
  #stale = false;

  /**
   * @param options - upstream, dispatch term and units
   */
  constructor(options: Options) {
    this.#options = options;
  }

  /** Renews at once, because the units have changed. */
  changed(): void {
    this.#stale = true;
    this.#wake.notify();
  }

  /** The upstream may have restarted, and its clock with it. */
  forgetClock(): void {
    this.#reading = undefined;
  }

  /**
   * @param unit - a unit
   * @returns whether the upstream certainly holds a grant for it now
   */
  holds(unit: Unit): boolean {
    return this.#confirmed.units.has(unit) &&
      this.#options.clock.now() < this.#confirmed.until;
  }

  /**
   * @param unit - a unit that is granted no more
   * @returns whether an attempt to tell the upstream so has ended
   */
  triedWithout(unit: Unit): boolean {
    return this.#attempted !== undefined && !this.#attempted.has(unit);
  }

  /**
   * @param unit - a unit
   * @returns milliseconds after which the upstream certainly holds no grant for
   * it, if it is not granted again
   */
  remainingMs(unit: Unit): number {
    const until = this.#possibleUntil.get(unit);
    return until === undefined
      ? 0
      : Math.max(0, until - this.#options.clock.now());
  }

  /**
   * Renews the grant until the dispatch term ends.
   *
   * @param signal - end of the dispatch term
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, renewMs, onChange } = this.#options;
    const ended = () => signal.aborted;
    while (!ended()) {
      this.#stale = false;
      const renewed = await this.#renew(signal);
      if (ended()) return;
      onChange();
      // `changed` may have been called meanwhile, also by `onChange`.
      if (renewed && this.#unitsChanged()) continue;
      const pause = new ChildAbort(signal);
      await Promise.race([
        clock.sleep(renewed ? renewMs : RETRY_MS, pause.signal),
        // A failed call is repeated only after the pause.
        renewed ? this.#wake.next(pause.signal) : new Promise(() => undefined),
      ]);
      pause.abort();
    }
  }

  #unitsChanged(): boolean {
    return this.#stale;
  }

  async #renew(signal: AbortSignal): Promise<boolean> {
    const { address, clock, epoch, grants } = this.#options;
    if (clock.now() >= this.#options.leaseEndsAt()) return this.#failed();
    const age = clock.now() - (this.#reading?.receivedAt ?? -Infinity);
    if (age > MAX_READING_AGE_MS) {
      const sentAt = clock.now();
      const read = await this.#call(signal, (s) => grants.read(address, s));
      if (read?.isOk() !== true) return this.#failed();
      this.#take(read.value, sentAt);
    }
    const reading = this.#reading;
    const sentAt = clock.now();
    const leaseLeft = this.#options.leaseEndsAt() -
      (reading?.receivedAt ?? Infinity);
    const ttl = Math.min(GRANT_TTL_MS, leaseLeft);
    if (
      reading === undefined || reading.receivedAt + ttl <= sentAt
    ) return this.#failed();
    // Read after the last wait: a unit that was released during it must not be
    // granted again.
    const units = this.#options.units();
    // The upstream read its clock between `sentAt` and `receivedAt`, so the
    // grant ends between these two times plus the TTL.
    const until = reading.receivedAt + ttl;
    for (const unit of units) {
      const known = this.#possibleUntil.get(unit) ?? -Infinity;
      this.#possibleUntil.set(unit, Math.max(known, until));
    }
    // The message may arrive although its answer does not.
    const certainUntil = reading.sentAt + ttl;
    this.#confirmed = {
      units: new Set(units.filter((unit) => this.#confirmed.units.has(unit))),
      until: Math.min(this.#confirmed.until, certainUntil),
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
    if (put === undefined) return this.#failed();
    if (put.isErr()) {
      if (put.error.kind === "superseded") {
        return this.#superseded(put.error.state, sentAt);
      }
      return this.#failed();
    }
    const jumped = this.#take(put.value, sentAt);
    this.#accepted(units, certainUntil, until);
    if (jumped) {
      // The upstream restarted: the grant was computed from a clock that no
      // longer exists, and is replaced by one from the new clock.
      const left = Math.max(0, expiresAt - put.value.now);
      for (const unit of units) {
        this.#possibleUntil.set(unit, clock.now() + left);
      }
      this.#stale = true;
    }
    return true;
  }

  #accepted(units: Unit[], certainUntil: number, possibleUntil: number): void {
    this.#confirmed = { units: new Set(units), until: certainUntil };
    this.#attempted = this.#confirmed.units;
    // The upstream refuses every earlier sequence number from now on.
    this.#possibleUntil.clear();
    for (const unit of units) this.#possibleUntil.set(unit, possibleUntil);
  }

  #superseded(state: GrantState, sentAt: number): boolean {
    if (state.epoch > this.#options.epoch) {
      this.#options.logger.warn(
        { address: this.#options.address, epoch: state.epoch },
        "the upstream has a grant of a later dispatch term",
      );
      this.#options.onSuperseded();
      return false;
    }
    // A repeated or delayed message of this dispatch term was there first.
    this.#seqFloor = Math.max(this.#seqFloor, state.seq);
    this.#take(state, sentAt);
    return this.#failed();
  }

  #failed(): boolean {
    this.#attempted = new Set(this.#options.units());
    return false;
  }

  /** Keeps a clock reading; returns whether the clock was restarted. */
  #take(state: GrantState, sentAt: number): boolean {
    const receivedAt = this.#options.clock.now();
    const last = this.#reading;
    this.#reading = { upstreamNow: state.now, sentAt, receivedAt };
    if (state.epoch === this.#options.epoch) {
      this.#seqFloor = Math.max(this.#seqFloor, state.seq);
    }
    if (last === undefined) return false;
    const passed = state.now - last.upstreamNow;
    return passed < sentAt - last.receivedAt - CLOCK_JUMP_MS ||
      passed > receivedAt - last.sentAt + CLOCK_JUMP_MS;
  }

  /** Undefined when no answer arrived in time. */
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
