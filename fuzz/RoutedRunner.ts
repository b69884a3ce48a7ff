import { setImmediate as nextTurn } from 'node:timers/promises';
import { InvariantViolation } from './InvariantViolation.js';
import { RoutedFuzzWorld } from './RoutedFuzzWorld.js';

/** Number of faults and changes in one world. */
const STEPS = 25;

/**
 * Runs one world for each seed; resolves with the first invariant violation, if any.
 *
 * @example
 * (await findViolation(1, 25))?.message; // undefined if no invariant was violated
 */
export async function findViolation(
  first: number,
  runs: number,
): Promise<InvariantViolation | undefined> {
  for (let seed = first; seed < first + runs; seed += 1) {
    // Yields: a test runner treats a thread that blocks for a minute as hung.
    // eslint-disable-next-line no-await-in-loop
    await nextTurn();
    try {
      new RoutedFuzzWorld({ seed }).run(STEPS);
    } catch (error) {
      if (error instanceof InvariantViolation) return error;
      throw error;
    }
  }
  return undefined;
}
