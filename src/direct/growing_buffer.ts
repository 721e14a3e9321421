const MIN_CAPACITY = 1024;
/** Bounds the unused part, which the memory for bodies does not count. */
const GROWTH_FACTOR = 1.25;

/**
 * Joins the chunks of a body as they arrive. Many small chunks, e.g. of one
 * byte, would take a hundred times the memory of their bytes.
 */
export class GrowingBuffer {
  readonly #expectedBytes: number;
  #buffer: Buffer | undefined;
  /** Whether the buffer belongs to this object and may be written to. */
  #owned = false;
  #size = 0;

  /**
   * @param expectedBytes - length of the body, 0 if it is not known
   */
  constructor(expectedBytes: number) {
    this.#expectedBytes = expectedBytes;
  }

  /** @returns bytes so far */
  get size(): number {
    return this.#size;
  }

  /** @returns the bytes so far; they change when more are appended */
  get bytes(): Buffer {
    return this.#buffer?.subarray(0, this.#size) ?? Buffer.alloc(0);
  }

  /** @param chunk - the next bytes; a single chunk is not copied */
  append(chunk: Buffer): void {
    const buffer = this.#buffer;
    if (buffer === undefined) {
      this.#buffer = chunk;
      this.#size = chunk.length;
      return;
    }
    const size = this.#size + chunk.length;
    if (!this.#owned || size > buffer.length) {
      const capacity = size <= this.#expectedBytes
        ? this.#expectedBytes
        : Math.max(MIN_CAPACITY, Math.ceil(GROWTH_FACTOR * size));
      const grown = Buffer.allocUnsafeSlow(capacity);
      buffer.copy(grown, 0, 0, this.#size);
      this.#buffer = grown;
      this.#owned = true;
    }
    this.#buffer?.set(chunk, this.#size);
    this.#size = size;
  }
}
