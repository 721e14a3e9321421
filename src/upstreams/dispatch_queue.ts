import type { Entry } from "../catalogue/entry.ts";

type Class = Entry["class"];

/** Waiting requests of one upstream; FIFO within each class. */
export class DispatchQueue<Item extends { class: Class }> {
  #interactive: Item[] = [];
  #batch: Item[] = [];

  /**
   * @returns how many requests wait
   */
  get size(): number {
    return this.#interactive.length + this.#batch.length;
  }

  /**
   * @param item - request to append to the queue of its class
   */
  push(item: Item): void {
    (item.class === "interactive" ? this.#interactive : this.#batch).push(item);
  }

  /**
   * Removes the first request that may be sent now. All interactive requests
   * precede batch requests.
   *
   * @param mayStart - whether a request may be sent now
   * @returns the request, or undefined if none may be sent
   */
  takeFirst(mayStart: (item: Item) => boolean): Item | undefined {
    for (const items of [this.#interactive, this.#batch]) {
      const index = items.findIndex(mayStart);
      if (index >= 0) return items.splice(index, 1)[0];
    }
    return undefined;
  }

  /**
   * @param matches - selects the requests to remove
   * @returns the removed requests, in queue order
   */
  removeAll(matches: (item: Item) => boolean): Item[] {
    const removed = this.items().filter(matches);
    if (removed.length > 0) {
      const removedItems = new Set(removed);
      this.#interactive = this.#interactive.filter((item) =>
        !removedItems.has(item)
      );
      this.#batch = this.#batch.filter((item) => !removedItems.has(item));
    }
    return removed;
  }

  /**
   * @returns the waiting requests in queue order, interactive ones first
   */
  items(): Item[] {
    return [...this.#interactive, ...this.#batch];
  }
}
