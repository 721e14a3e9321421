type Bounds = {
  /**
   * Time after which an upstream that leaves must receive no more requests, in
   * milliseconds from the store's acknowledgment.
   */
  changeBoundMs: number;
  /**
   * Time after the end of a disconnection of this VM for which it need not keep
   * the bound, in milliseconds.
   */
  contactMs: number;
};

/**
 * Part of the bound for the way from the choice of an upstream to the arrival of
 * the request: a new connection may take 350 ms of it.
 */
const SEND_FRACTION = 0.2;
/** Reassigning a key takes a few hundred milliseconds. */
const MAX_OWNER_USE_MS = 1200;
const OWNER_USE_FRACTION = 0.48;

/**
 * Until when upstreams that leave get requests, so that the last of them arrive
 * within the bound. All times are monotonic milliseconds.
 */
export class LeaveTimes {
  /** Longest use of the owner of a key after its leaving became known. */
  readonly ownerUseMs: number;
  readonly #bounds: Bounds;
  readonly #sendMs: number;

  /**
   * @param bounds - bounds of the deployment
   */
  constructor(bounds: Bounds) {
    this.#bounds = bounds;
    this.#sendMs = bounds.changeBoundMs * SEND_FRACTION;
    this.ownerUseMs = Math.min(
      MAX_OWNER_USE_MS,
      bounds.changeBoundMs * OWNER_USE_FRACTION,
    );
  }

  /**
   * @param now - when the leave became known
   * @param latenessMs - longest time for which it may have been stored before
   * @returns time from which `ownerUseMs` counts; before `now` if the rest of the
   * bound is shorter than that
   */
  countsFrom(now: number, latenessMs: number): number {
    const { changeBoundMs } = this.#bounds;
    const allowedMs = changeBoundMs - this.#sendMs - this.ownerUseMs;
    return now - Math.max(0, latenessMs - allowedMs);
  }

  /**
   * @param now - when the registry entry was found missing
   * @param latenessMs - longest time for which it may have been removed before
   * @param failedAt - when this VM was last known to be disconnected
   * @returns until when the upstream may be used, in case its entry has lapsed
   */
  missingUseEndsAt(now: number, latenessMs: number, failedAt: number): number {
    const { changeBoundMs, contactMs } = this.#bounds;
    return Math.max(now - latenessMs + changeBoundMs, failedAt + contactMs) -
      this.#sendMs;
  }
}
