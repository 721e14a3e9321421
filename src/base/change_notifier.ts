/** Lets tasks wait for the next change of some state. */
export class ChangeNotifier {
  #waiters = new Set<() => void>();

  /** Wakes every task that waits for a change. */
  notify(): void {
    const waiters = this.#waiters;
    this.#waiters = new Set();
    for (const wake of waiters) wake();
  }

  /**
   * @param signal - ends the wait; the promise then resolves as well
   * @returns a promise that resolves at the next `notify`
   */
  next(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const wake = () => {
        this.#waiters.delete(wake);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      this.#waiters.add(wake);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }
}
