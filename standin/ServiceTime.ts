import type { RandomSource } from '../src/common/Random.js';

/** Distribution of service times. */
export interface ServiceTimeOptions {
  readonly meanMs: number;
  /** Share of requests that take the tail time instead. */
  readonly tailRatio: number;
  readonly tailMs: number;
}

/** Exponential service times with a heavy tail. */
export const HEAVY_TAIL: ServiceTimeOptions = { meanMs: 4, tailRatio: 0.05, tailMs: 40 };

/** No work at all, for overhead measurements. */
export const NO_WORK: ServiceTimeOptions = { meanMs: 0, tailRatio: 0, tailMs: 0 };

/** Draws one service time. */
export function drawServiceTimeMs(options: ServiceTimeOptions, random: RandomSource): number {
  if (options.meanMs === 0) return 0;
  if (random.next() < options.tailRatio) return options.tailMs;
  return -Math.log(1 - random.next()) * options.meanMs;
}
