/**
 * Error for a connection that the upstream reset immediately after accepting
 * it, because it has too many connections or its queue is long. No request was
 * sent.
 */
export class ConnectionRejected extends Error {
  override readonly name = "ConnectionRejected";

  /**
   * @param address - `ip:port` of the upstream
   */
  constructor(address: string) {
    super(
      `${address} accepts no further connection`,
    );
  }
}
