import { Socket } from "node:net";

/**
 * A socket that reports a reset as an error even if it arrives together with
 * the last bytes.
 *
 * Node.js (libuv) treats a connection that is closed in both directions as
 * ended once it has read the available bytes, and then does not learn from a
 * further read that it was reset. It does so only while it is reading. This
 * socket stops reading at each chunk, and starts again in the check phase of
 * the event loop, so that the next read follows another poll.
 */
export class UpstreamSocket extends Socket {
  constructor() {
    // Each chunk fills the buffer, at which Node.js stops reading.
    super({ readableHighWaterMark: 1 } as object);
  }

  override _read(size: number): void {
    setImmediate(() => {
      if (!this.destroyed) super._read(size);
    });
  }
}
