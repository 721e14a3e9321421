/**
 * An abort controller that also aborts when a longer-lived signal does. Unlike
 * `AbortSignal.any`, it removes its listener from the parent when it aborts, so
 * a loop can create one per iteration without a leak.
 */
export class ChildAbort {
  readonly #controller = new AbortController();
  readonly #parent: AbortSignal;
  readonly #onParentAbort = () => this.abort();

  /**
   * @param parent - signal whose abort also aborts this one
   */
  constructor(parent: AbortSignal) {
    this.#parent = parent;
    if (parent.aborted) this.#controller.abort();
    else parent.addEventListener("abort", this.#onParentAbort, { once: true });
  }

  /**
   * @returns the signal
   */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Aborts this signal but not the parent. */
  abort(): void {
    this.#parent.removeEventListener("abort", this.#onParentAbort);
    this.#controller.abort();
  }
}
