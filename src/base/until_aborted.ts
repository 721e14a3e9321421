/**
 * Waits for a promise until a signal aborts. undici looks at the signal of a
 * request only when its connection stands, which can be seconds later.
 *
 * @param promise - what is waited for; it goes on if the wait is given up
 * @param signal - ends the wait
 * @returns what the promise resolves to; rejects when the signal aborts
 */
export async function untilAborted<T>(
  promise: Promise<T>,
  signal: AbortSignal,
): Promise<T> {
  // Nobody waits for its failure once the wait is over.
  promise.catch(() => undefined);
  if (signal.aborted) throw new Error("aborted");
  const wait = new AbortController();
  const aborted = new Promise<never>((_resolve, reject) => {
    signal.addEventListener("abort", () => reject(new Error("aborted")), {
      once: true,
      signal: wait.signal,
    });
  });
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    wait.abort();
  }
}
