const LF = 10;
const CR = 13;

/**
 * Finds the ends of heads in the bytes of a connection: a line feed that
 * follows another one, with or without a carriage return between them.
 */
export class BlockScanner {
  /** Lines of the current block so far. */
  lines = 0;
  /** Whether the last byte ended a line, with a carriage return after it. */
  #afterLine = false;

  /** Starts a new block. */
  reset(): void {
    this.lines = 0;
    this.#afterLine = false;
  }

  /**
   * @param bytes - the next bytes
   * @param start - index of the first one
   * @returns index after the end of the block; -1 if it does not end here
   */
  scan(bytes: Uint8Array, start: number): number {
    let afterLine = this.#afterLine;
    let lines = this.lines;
    for (let i = start; i < bytes.length; i++) {
      const byte = bytes[i];
      if (byte === LF) {
        lines++;
        if (afterLine) {
          this.lines = lines;
          this.#afterLine = false;
          return i + 1;
        }
        afterLine = true;
      } else if (byte !== CR) {
        afterLine = false;
      }
    }
    this.lines = lines;
    this.#afterLine = afterLine;
    return -1;
  }
}
