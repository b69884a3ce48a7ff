import murmur from 'imurmurhash';
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
 * Creates the random source of a process. Sources with similar seeds begin alike, and hosts that start
 * together have similar times: the id and the time are hashed into the seed.
 *
 * @example
 * createProcessRandom('entry-1', clock.wallMs()).next(); // unlike that of entry-2
 */
export function createProcessRandom(id: string, startedAtMs: number): RandomSource {
  return createRandom(murmur(`${id}@${startedAtMs}`).result());
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
