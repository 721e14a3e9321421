/** The upstream began to leave while a connection to it was established. */
export class UpstreamLeaving extends Error {
  constructor() {
    super("the upstream is leaving");
  }
}
