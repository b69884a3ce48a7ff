import { describe, expect, it } from 'vitest';
import { DiskWorld } from './DiskWorld.js';
import { InvariantViolation } from './InvariantViolation.js';

const SEEDS = Number(process.env.DISK_SEEDS ?? 10);
const FIRST_SEED = Number(process.env.DISK_FIRST_SEED ?? 1);

/** Runs one world for each seed and returns the texts of all violations. */
function violations(
  run: (world: DiskWorld) => void,
  seeds = Array.from({ length: SEEDS }, (unused, index) => FIRST_SEED + index),
): string[] {
  return seeds.flatMap((seed) => {
    try {
      run(new DiskWorld({ seed }));
      return [];
    } catch (error) {
      if (error instanceof InvariantViolation) return [error.message];
      throw error;
    }
  });
}

// A confirmed change is gone, or no leader is elected again, after the loss of as many disks as
// may be lost at once together with the power of all hosts.
describe('control hosts that lose disks and power', { timeout: 300_000 }, () => {
  it('keep all confirmed changes while a voter is replaced', () => {
    expect(violations((world) => world.runReplacement())).toEqual([]);
  });

  it('keep all confirmed changes after the first start', () => {
    expect(violations((world) => world.runFirstStart())).toEqual([]);
  });

  // Installations may have fewer hosts with disks than there should be voters.
  it('confirm changes without enough hosts for all voters', () => {
    const world = new DiskWorld({ seed: 1, hosts: 3 });
    world.timeline.advance(3_000);
    const { confirmed } = world;
    expect(confirmed).toBeGreaterThan(0);
    world.timeline.advance(200);
    expect(world.confirmed).toBeGreaterThan(confirmed);
  });

  it('keep all confirmed changes after random faults', () => {
    expect(violations((world) => world.run(5), [18])).toEqual([]);
    expect(violations((world) => world.run(5))).toEqual([]);
  });
});
