import { setImmediate as nextTurn } from 'node:timers/promises';
import { DiskWorld, type DiskWorldOptions } from './DiskWorld.js';
import { InvariantViolation } from './InvariantViolation.js';

/** Number of worlds for each test, and the first seed; longer runs set both. */
const SEEDS = Number(process.env.DISK_SEEDS ?? 10);
const FIRST_SEED = Number(process.env.DISK_FIRST_SEED ?? 1);

/** Seeds of the worlds of a test. */
export function seedRange(): number[] {
  return Array.from({ length: SEEDS }, (unused, index) => FIRST_SEED + index);
}

/** Runs one world for each seed and returns the texts of all violations. */
export async function violations(
  run: (world: DiskWorld) => void,
  seeds = seedRange(),
  options: Omit<DiskWorldOptions, 'seed'> = {},
): Promise<string[]> {
  const found: string[] = [];
  for (let index = 0; index < seeds.length; index += 1) {
    // Yields: a test runner treats a thread that blocks for a minute as hung.
    // eslint-disable-next-line no-await-in-loop
    await nextTurn();
    try {
      run(new DiskWorld({ ...options, seed: seeds[index]! }));
    } catch (error) {
      if (!(error instanceof InvariantViolation)) throw error;
      found.push(error.message);
    }
  }
  return found;
}

/** Hosts that are too few for a majority after the loss of `hostsLostAtOnce` disks. */
export const SMALL = [
  { hosts: 3, voters: 3, hostsLostAtOnce: 2 },
  { hosts: 4, voters: 4, hostsLostAtOnce: 2 },
  { hosts: 4, voters: 3, hostsLostAtOnce: 2 },
  { hosts: 5, voters: 3, hostsLostAtOnce: 3 },
  { hosts: 2, voters: 2, hostsLostAtOnce: 1 },
];
