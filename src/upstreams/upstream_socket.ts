import { Socket } from "node:net";

/**
 * A socket that can be closed by a reset, and that reports a reset as an error
 * even if it arrives together with the last bytes.
 *
 * Node.js (libuv) treats a connection that is closed in both directions as
 * ended once it has read the available bytes, and then does not learn from a
 * further read that it was reset. It does so only while it is reading. This
 * socket stops reading at each chunk, and starts again in the check phase of
 * the event loop, so that the next read follows another poll.
 */
export class UpstreamSocket extends Socket {
  /**
   * Whether `destroy` resets the connection, so that the kernel discards what
   * it has not sent. Otherwise it goes on sending, for instance after a
   * partition, although the socket is closed.
   */
  resetOnDestroy = false;
  #destroyReason: Error | undefined;

  constructor() {
    // Each chunk fills the buffer, at which Node.js stops reading.
    super({ readableHighWaterMark: 1 } as object);
  }

  override destroy(err?: Error): this {
    // libuv refuses to reset a connection whose sending side it shuts down.
    const canReset = !this.destroyed && !this.connecting && !this.writableEnded;
    if (!this.resetOnDestroy || !canReset) {
      return super.destroy(err ?? this.#destroyReason);
    }
    this.resetOnDestroy = false;
    // `resetAndDestroy` calls this method without the reason.
    this.#destroyReason = err;
    return this.resetAndDestroy();
  }

  override _read(size: number): void {
    setImmediate(() => {
      if (!this.destroyed) super._read(size);
    });
  }
}
