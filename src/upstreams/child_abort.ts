/**
 * An abort signal that follows a longer-lived one. Unlike `AbortSignal.any`, it
 * leaves nothing behind at the parent once it was aborted, so that a loop can
 * create one in each round.
 */
export class ChildAbort {
  readonly #controller = new AbortController();
  readonly #parent: AbortSignal;
  readonly #follow = () => this.abort();

  /**
   * @param parent - aborts this one as well
   */
  constructor(parent: AbortSignal) {
    this.#parent = parent;
    if (parent.aborted) this.#controller.abort();
    else parent.addEventListener("abort", this.#follow, { once: true });
  }

  /**
   * @returns the signal
   */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Aborts this signal and leaves the parent alone. */
  abort(): void {
    this.#parent.removeEventListener("abort", this.#follow);
    this.#controller.abort();
  }
}
