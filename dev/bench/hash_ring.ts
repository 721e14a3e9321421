import { createHash } from "node:crypto";

const VIRTUAL_NODES = 128;

function positionOf(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** Consistent hashing with virtual nodes, as a baseline for the benches. */
export class HashRing {
  readonly #points: { position: number; id: string }[];

  /**
   * @param ids - ids of the upstreams
   */
  constructor(ids: readonly string[]) {
    this.#points = ids.flatMap((id) =>
      Array.from({ length: VIRTUAL_NODES }, (_, index) => ({
        position: positionOf(`${id}/${index}`),
        id,
      }))
    ).sort((a, b) => a.position - b.position);
  }

  /**
   * @param name - a key or a shard
   * @returns id of the upstream that owns it
   * @throws Error if the ring has no upstreams
   */
  ownerOf(name: string): string {
    const position = positionOf(name);
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#points[middle]?.position ?? 0) < position) low = middle + 1;
      else high = middle;
    }
    const point = this.#points[low] ?? this.#points[0];
    if (point === undefined) throw new Error("the hash ring has no upstreams");
    return point.id;
  }
}
