/**
 * Waits for a promise, at most until a signal aborts. undici checks the signal
 * of a request only after its connection is established, which can take
 * seconds.
 *
 * @param promise - promise to wait for; an abort does not cancel it
 * @param signal - ends the wait
 * @returns what the promise resolves to; rejects when the signal aborts
 */
export async function untilAborted<T>(
  promise: Promise<T>,
  signal: AbortSignal,
): Promise<T> {
  // Avoids an unhandled rejection if the promise rejects after the abort.
  promise.catch(() => undefined);
  if (signal.aborted) throw new Error("aborted");
  const waitEnded = new AbortController();
  const aborted = new Promise<never>((_resolve, reject) => {
    signal.addEventListener("abort", () => reject(new Error("aborted")), {
      once: true,
      signal: waitEnded.signal,
    });
  });
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    waitEnded.abort();
  }
}
