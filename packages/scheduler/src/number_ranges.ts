/** Consecutive whole numbers, from the first to the last. */
export type NumberRange = [first: number, last: number];

/**
 * A set of whole numbers from 0 that takes memory for each of its gaps, not for
 * each number.
 */
export class NumberRanges {
  /** In ascending order, with a gap after each. */
  #ranges: NumberRange[];
  #size: number;

  /** @param ranges the numbers of the set, in ascending order */
  constructor(ranges: readonly NumberRange[] = []) {
    this.#ranges = ranges.map(([first, last]) => [first, last]);
    this.#size = ranges.reduce(
      (sum, [first, last]) => sum + last - first + 1,
      0,
    );
  }

  /** Number of numbers in the set. */
  get size(): number {
    return this.#size;
  }

  /** Number of ranges. */
  get rangeCount(): number {
    return this.#ranges.length;
  }

  /** @returns whether the set has a number */
  has(number: number): boolean {
    const range = this.#ranges[this.#positionOf(number)];
    return range !== undefined && range[0] <= number;
  }

  /** @returns the lowest number from the given one on that is not in the set */
  nextAbsent(from: number): number {
    const range = this.#ranges[this.#positionOf(from)];
    return range !== undefined && range[0] <= from ? range[1] + 1 : from;
  }

  /** Adds a number. */
  add(number: number): this {
    const position = this.#positionOf(number);
    const next = this.#ranges[position];
    if (next !== undefined && next[0] <= number) return this;
    this.#size += 1;
    const previous = this.#ranges[position - 1];
    const followsPrevious = previous?.[1] === number - 1;
    const precedesNext = next?.[0] === number + 1;
    if (followsPrevious && precedesNext) {
      previous[1] = next[1];
      this.#ranges.splice(position, 1);
    } else if (followsPrevious) previous[1] = number;
    else if (precedesNext) next[0] = number;
    else this.#ranges.splice(position, 0, [number, number]);
    return this;
  }

  /** @returns a copy of the ranges, in ascending order */
  toList(): NumberRange[] {
    return this.#ranges.map(([first, last]) => [first, last]);
  }

  /** Returns the position of the first range that ends at a number or above. */
  #positionOf(number: number): number {
    let low = 0;
    let high = this.#ranges.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#ranges[middle][1] < number) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
