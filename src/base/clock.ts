/**
 * The only source of time for decisions, so that tests can control it.
 */
export interface Clock {
  /**
   * @returns monotonic milliseconds; comparable only within this process
   */
  now(): number;

  /**
   * @returns wall-clock time, for logs and records only, never for leases
   */
  wallTime(): Date;

  /**
   * @param ms - how long to wait, in milliseconds
   * @param signal - ends the wait early; the promise then resolves as well
   * instead of rejecting, so callers check `signal.aborted` in their loops
   * @returns a promise that resolves after the wait
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}
