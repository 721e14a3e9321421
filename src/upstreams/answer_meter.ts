/** Header lines, reason phrase and interim answers together. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Chunk extensions, trailers and other bytes around a short body. */
const MAX_FRAMING_BYTES = 64 * 1024;
/** A chunk of one byte has five bytes around it. */
const MAX_FRAMING_PER_BODY_BYTE = 8;

/**
 * Bounds the bytes that an upstream may send for one answer beside its body. It
 * counts bytes on the connection, whatever a parser takes them for: a parser
 * may discard some kinds, such as a reason phrase or interim answers, without a
 * limit.
 */
export class AnswerMeter {
  readonly #startBytes: number;
  #headEndBytes: number | undefined;
  #bodyBytes = 0;

  /**
   * @param startBytes - bytes of the connection that were parsed before the
   * answer
   */
  constructor(startBytes: number) {
    this.#startBytes = startBytes;
  }

  /**
   * Records that the head of the final answer is complete.
   *
   * @param parsedBytes - bytes of the connection that have been parsed so far
   */
  onHead(parsedBytes: number): void {
    this.#headEndBytes = parsedBytes;
  }

  /** @param bytes - further bytes of the body */
  onBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /**
   * @param parsedBytes - bytes of the connection that have been parsed so far
   * @returns why the answer must be abandoned, or undefined
   */
  check(parsedBytes: number): Error | undefined {
    if (this.#headEndBytes === undefined) {
      return parsedBytes - this.#startBytes > MAX_HEAD_BYTES
        ? new Error(`no complete head in ${MAX_HEAD_BYTES} bytes`)
        : undefined;
    }
    const framing = parsedBytes - this.#headEndBytes - this.#bodyBytes;
    const limit = MAX_FRAMING_BYTES +
      MAX_FRAMING_PER_BODY_BYTE * this.#bodyBytes;
    return framing > limit
      ? new Error(`more than ${limit} bytes around the body`)
      : undefined;
  }
}
