/**
 * A map that takes next to no memory while it is empty. A lead holds several of
 * them for each step that may run, most of which stay empty.
 */
export class LazyMap<Key, Value> {
  #entries: Map<Key, Value> | undefined;

  /** Number of entries. */
  get size(): number {
    return this.#entries?.size ?? 0;
  }

  /** @returns the value of a key; undefined if it has none */
  get(key: Key): Value | undefined {
    return this.#entries?.get(key);
  }

  /** @returns whether a key has a value */
  has(key: Key): boolean {
    return this.#entries?.has(key) ?? false;
  }

  /** Sets the value of a key. */
  set(key: Key, value: Value): this {
    this.#entries ??= new Map();
    this.#entries.set(key, value);
    return this;
  }

  /** @returns whether the key had a value, which is removed */
  delete(key: Key): boolean {
    return this.#entries?.delete(key) ?? false;
  }

  /** Removes all entries. */
  clear(): void {
    this.#entries = undefined;
  }

  /** @returns the keys, in the order in which they were added */
  keys(): IterableIterator<Key> {
    return (this.#entries ?? NO_ENTRIES as Map<Key, Value>).keys();
  }

  /** @returns the values, in the order in which their keys were added */
  values(): IterableIterator<Value> {
    return (this.#entries ?? NO_ENTRIES as Map<Key, Value>).values();
  }

  /** @returns the entries, in the order in which they were added */
  [Symbol.iterator](): IterableIterator<[Key, Value]> {
    return (this.#entries ?? NO_ENTRIES as Map<Key, Value>).entries();
  }
}

/** A set that takes next to no memory while it is empty. */
export class LazySet<Item> {
  #items: Set<Item> | undefined;

  /** Number of items. */
  get size(): number {
    return this.#items?.size ?? 0;
  }

  /** @returns whether the set has an item */
  has(item: Item): boolean {
    return this.#items?.has(item) ?? false;
  }

  /** Adds an item. */
  add(item: Item): this {
    this.#items ??= new Set();
    this.#items.add(item);
    return this;
  }

  /** @returns the items, in the order in which they were added */
  [Symbol.iterator](): IterableIterator<Item> {
    return (this.#items ?? NO_ITEMS as Set<Item>).values();
  }
}

const NO_ENTRIES: Map<unknown, unknown> = new Map();
const NO_ITEMS: Set<unknown> = new Set();
