/**
 * Waits until the event loop has polled all sockets once more. A busy process
 * reads a request long after it arrived; the caller may have closed the
 * connection since, which the next poll reports.
 *
 * @returns a promise that resolves after the poll
 */
export function afterNextPoll(): Promise<void> {
  // Immediates run after a poll; those that they set run after the next one.
  return new Promise((resolve) =>
    setImmediate(() => setImmediate(() => resolve()))
  );
}
