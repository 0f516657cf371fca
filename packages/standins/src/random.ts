import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a seeded source of random numbers.
 *
 * @param seed start value
 * @returns a function that gives numbers from 0 up to 1, the same for the same seed
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
