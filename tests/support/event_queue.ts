type Event = { at: number; order: number; run: () => void };

/** Events of a simulation in the order of their times. */
export class EventQueue {
  /** A binary heap. */
  readonly #heap: Event[] = [];
  #order = 0;

  /**
   * @param at - time of the event; those of equal times keep their order
   * @param run - what happens then
   */
  add(at: number, run: () => void): void {
    const event = { at, order: this.#order++, run };
    const heap = this.#heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  /** @returns the next event, which is removed */
  next(): Event | undefined {
    const heap = this.#heap;
    const [first] = heap;
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) {
      return first;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
        child++;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
