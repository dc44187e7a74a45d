/**
 * A binary min-heap whose items know their place, so that one whose key has changed or that has to
 * leave is found at once.
 */

/** What an item of the heap carries. */
export interface HeapItem {
  /** The key; changed only together with a call of `update`. */
  key: number;
  /** The place in the heap; -1 outside. Written by the heap only. */
  heapIndex: number;
}

/** The heap. Equal keys leave in no particular order. */
export class IndexedHeap<Item extends HeapItem> {
  readonly #items: Item[] = [];

  /** Items held. */
  get size(): number {
    return this.#items.length;
  }

  /** The item with the lowest key. */
  first(): Item | undefined {
    return this.#items[0];
  }

  /** Adds an item that is not in the heap. */
  add(item: Item): void {
    item.heapIndex = this.#items.length;
    this.#items.push(item);
    this.#rise(item);
  }

  /** Restores the order after an item's key has changed. Items outside are left alone. */
  update(item: Item): void {
    if (item.heapIndex >= 0) {
      this.#rise(item);
      this.#sink(item);
    }
  }

  /** Takes an item out. Items outside are left alone. */
  remove(item: Item): void {
    const heapIndex = item.heapIndex;
    const last = heapIndex >= 0 ? this.#items.pop() : undefined;
    if (last === undefined) {
      return;
    }
    item.heapIndex = -1;
    if (last !== item) {
      this.#put(last, heapIndex);
      this.update(last);
    }
  }

  #rise(item: Item): void {
    while (item.heapIndex > 0) {
      const parent = this.#items[(item.heapIndex - 1) >> 1];
      if (parent === undefined || parent.key <= item.key) {
        return;
      }
      this.#swap(item, parent);
    }
  }

  #sink(item: Item): void {
    for (;;) {
      const child = this.#lowerChild(item.heapIndex);
      if (child === undefined || item.key <= child.key) {
        return;
      }
      this.#swap(item, child);
    }
  }

  #lowerChild(heapIndex: number): Item | undefined {
    const left = this.#items[2 * heapIndex + 1];
    const right = this.#items[2 * heapIndex + 2];
    return left !== undefined && right !== undefined && right.key < left.key ? right : left;
  }

  #swap(left: Item, right: Item): void {
    const heapIndex = left.heapIndex;
    this.#put(left, right.heapIndex);
    this.#put(right, heapIndex);
  }

  #put(item: Item, heapIndex: number): void {
    item.heapIndex = heapIndex;
    this.#items[heapIndex] = item;
  }
}
