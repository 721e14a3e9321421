import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Row } from "./row.ts";
import type { RowCodec } from "./row_codec.ts";
import type { RowDelta } from "./row_delta.ts";

type Kept = { version: number; text: Uint8Array };

/**
 * A VM queries its relay twice a second, and a row changes at most eight times
 * a second, so its version is one of the last few unless queries were lost.
 */
const KEPT_VERSIONS = 12;
/** Larger texts do not fit into the window of the compression. */
const MAX_TEXT_BYTES = 256 * 1024;

/**
 * Keeps the last values of a table's rows, and encodes a new value as the
 * difference to one that the receiver has. A row with the owners of hundreds of
 * key ranges changes several times a second in a few ranges.
 */
export class RecentRows {
  readonly #codec: RowCodec;
  readonly #rows = new Map<string, Kept[]>();
  /** Differences to the newest version of a row, by key and base version. */
  readonly #deltas = new Map<string, Map<number, RowDelta>>();

  /**
   * @param codec - decodes the values of the rows
   */
  constructor(codec: RowCodec) {
    this.#codec = codec;
  }

  /**
   * @returns the newest version of each row, by key
   */
  get versions(): Record<string, number> {
    const versions: Record<string, number> = {};
    for (const [key, kept] of this.#rows) {
      versions[key] = kept.at(-1)?.version ?? 0;
    }
    return versions;
  }

  /** Forgets all rows. */
  clear(): void {
    this.#rows.clear();
    this.#deltas.clear();
  }

  /**
   * @param row - a new version of a row; one that cannot be decoded is ignored
   */
  add({ key, version, value }: Row): void {
    this.#deltas.delete(key);
    let text: Uint8Array;
    try {
      text = this.#codec.decode(value);
    } catch {
      // The receiver of the table's changes reports it.
      this.remove(key);
      return;
    }
    const kept = this.#rows.get(key) ?? [];
    kept.push({ version, text });
    if (kept.length > KEPT_VERSIONS) kept.shift();
    this.#rows.set(key, kept);
  }

  /**
   * @param key - key of a removed row
   */
  remove(key: string): void {
    this.#rows.delete(key);
    this.#deltas.delete(key);
  }

  /**
   * @param key - key of a row
   * @param base - version that the receiver has
   * @returns the difference from that version to the newest one; undefined if
   * that version is no longer kept
   */
  deltaFrom(key: string, base: number): RowDelta | undefined {
    const kept = this.#rows.get(key);
    const newest = kept?.at(-1);
    const before = kept?.find(({ version }) => version === base);
    if (
      newest === undefined || before === undefined ||
      newest.text.length > MAX_TEXT_BYTES
    ) return undefined;
    let deltas = this.#deltas.get(key);
    if (deltas === undefined) {
      deltas = new Map();
      this.#deltas.set(key, deltas);
    }
    const known = deltas.get(base);
    if (known !== undefined) return known;
    const data = deflateRawSync(newest.text, { dictionary: before.text })
      .toString("base64");
    const delta = { base, data };
    deltas.set(base, delta);
    return delta;
  }

  /**
   * @param key - key of a row
   * @param delta - difference from a relay
   * @returns the new value of the row; undefined if its base version is not
   * kept or the difference cannot be decoded
   */
  apply(key: string, delta: RowDelta): Uint8Array | undefined {
    const before = this.#rows.get(key)?.find(({ version }) =>
      version === delta.base
    );
    if (before === undefined) return undefined;
    try {
      return this.#codec.encode(
        inflateRawSync(Buffer.from(delta.data, "base64"), {
          dictionary: before.text,
          maxOutputLength: MAX_TEXT_BYTES,
        }),
      );
    } catch {
      return undefined;
    }
  }
}
