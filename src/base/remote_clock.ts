type Response = {
  /** Reading of the remote clock in the response, in milliseconds. */
  remoteMs: number;
  /** Monotonic milliseconds of this process at which the request was sent. */
  sentAt: number;
  /** Monotonic milliseconds of this process at which the response was read. */
  receivedAt: number;
};

/** Converts readings of a remote monotonic clock to this process's clock. */
export class RemoteClock {
  /** Lower bound of this process's clock minus the remote clock. */
  #offsetMs = Number.NEGATIVE_INFINITY;

  /**
   * @param response - a response that carries a reading of the remote clock
   * @returns monotonic milliseconds of this process at or before the reading;
   * never before the request was sent
   */
  toLocal({ remoteMs, sentAt, receivedAt }: Response): number {
    this.#offsetMs = Math.max(this.#offsetMs, sentAt - remoteMs);
    // The clocks have diverged, e.g. because this process was suspended.
    if (remoteMs + this.#offsetMs > receivedAt) {
      this.#offsetMs = sentAt - remoteMs;
    }
    return remoteMs + this.#offsetMs;
  }
}
