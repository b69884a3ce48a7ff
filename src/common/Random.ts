import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Source of uniform numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}

/**
 * Creates a seeded random source.
 *
 * @example
 * createRandom(7).next() === createRandom(7).next(); // true
 */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}

/**
 * Picks an integer in [0, bound).
 *
 * @example
 * pickIndex(createRandom(7), 3); // 0, 1 or 2
 */
export function pickIndex(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound);
}
