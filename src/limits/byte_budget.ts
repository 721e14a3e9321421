/** Limits how many bytes may be in use at the same time. */
export class ByteBudget {
  readonly #limit: number;
  #used = 0;

  /**
   * @param limit - the most bytes that may be in use
   */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /**
   * @returns bytes in use
   */
  get used(): number {
    return this.#used;
  }

  /**
   * @param bytes - bytes that are needed in addition
   * @returns whether they were available and are now in use
   */
  take(bytes: number): boolean {
    if (this.#used + bytes > this.#limit) return false;
    this.#used += bytes;
    return true;
  }

  /** @param bytes - bytes that are no longer in use */
  give(bytes: number): void {
    this.#used -= bytes;
  }
}
