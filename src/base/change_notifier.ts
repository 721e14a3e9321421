/** Lets tasks wait for the next change of some state. */
export class ChangeNotifier {
  #waiting = new Set<() => void>();

  /** Wakes every task that waits for a change. */
  notify(): void {
    const waiting = this.#waiting;
    this.#waiting = new Set();
    for (const wake of waiting) wake();
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
        this.#waiting.delete(wake);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      this.#waiting.add(wake);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }
}
