import { createHash } from "node:crypto";

const VIRTUAL_NODES = 128;

function positionOf(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** Plain consistent hashing with virtual nodes, to compare with. */
export class HashRing {
  readonly #points: { at: number; id: string }[];

  /**
   * @param ids - upstreams
   */
  constructor(ids: readonly string[]) {
    this.#points = ids.flatMap((id) =>
      Array.from({ length: VIRTUAL_NODES }, (_, index) => ({
        at: positionOf(`${id}/${index}`),
        id,
      }))
    ).sort((a, b) => a.at - b.at);
  }

  /**
   * @param name - a key or a shard
   * @returns the upstream that owns it
   */
  ownerOf(name: string): string {
    const at = positionOf(name);
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#points[middle]?.at ?? 0) < at) low = middle + 1;
      else high = middle;
    }
    const point = this.#points[low] ?? this.#points[0];
    if (point === undefined) throw new Error("the ring is empty");
    return point.id;
  }
}
