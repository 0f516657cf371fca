import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a seeded pseudo-random number generator.
 *
 * @param seed seed of the generator
 * @returns a function that returns numbers from 0 inclusive to 1 exclusive;
 *   equal seeds give equal sequences
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
