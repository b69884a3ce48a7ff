import { setImmediate as nextTurn } from 'node:timers/promises';
import { BrokenPromise } from './BrokenPromise.js';
import { RoutedFuzzWorld } from './RoutedFuzzWorld.js';

/** Faults and changes in one world. */
const STEPS = 25;

/**
 * Plays one world for each seed; resolves with the first promise that any of them breaks.
 *
 * @example
 * (await firstBroken(1, 25))?.message; // undefined while every promise is kept
 */
export async function firstBroken(first: number, runs: number): Promise<BrokenPromise | undefined> {
  for (let seed = first; seed < first + runs; seed += 1) {
    // A test runner takes a thread that is silent for a minute for dead.
    // eslint-disable-next-line no-await-in-loop
    await nextTurn();
    try {
      new RoutedFuzzWorld({ seed }).run(STEPS);
    } catch (error) {
      if (error instanceof BrokenPromise) return error;
      throw error;
    }
  }
  return undefined;
}
