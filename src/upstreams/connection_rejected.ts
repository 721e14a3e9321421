/**
 * The upstream reset a connection as soon as it stood: it has too many, or its
 * queue is long. Nothing was sent.
 */
export class ConnectionRejected extends Error {
  override readonly name = "ConnectionRejected";

  /**
   * @param address - `ip:port` of the upstream
   */
  constructor(address: string) {
    super(`${address} accepts no further connection`);
  }
}
