import { describe, expect, it } from 'vitest';
import { seedRange, SMALL, violations } from './DiskRuns.js';
import type { DiskWorld } from './DiskWorld.js';
import { Invariant, InvariantViolation } from './InvariantViolation.js';

// A host that was taken away for good stayed a voter beside its successor, so that too few voters were
// left after the loss of as many disks as may be lost (issue 56).
describe('control hosts that were replaced at another address', { timeout: 300_000 }, () => {
  it.each([
    ...SMALL,
    { hosts: 3, voters: 3, hostsLostAtOnce: 1 },
    { hosts: 6, hostsLostAtOnce: 2 },
  ])('bear the loss of disks afterwards: %o', async (options) => {
    const run = (world: DiskWorld) => world.runSuccessors(2);
    expect(await violations(run, seedRange(), options)).toEqual([]);
  });

  // A host that lost its disk knows nobody but its seeds, which may all be gone by then (issue 56).
  it('readmit a host that none of its seeds can answer', async () => {
    const run = (world: DiskWorld) => {
      if (world.readmitsWithoutSeeds()) return;
      throw new InvariantViolation(Invariant.ActiveConfig, 'the host is no voter');
    };
    const options = { hosts: 3, hostsLostAtOnce: 1 };
    expect(await violations(run, seedRange(), options)).toEqual([]);
  });

  it.each([
    { hosts: 4, hostsLostAtOnce: 2 },
    { hosts: 6, hostsLostAtOnce: 3 },
    { hosts: 5, hostsLostAtOnce: 2 },
    { hosts: 6, hostsLostAtOnce: 2 },
  ])('bear the loss of a disk before the successor has caught up: %o', async (options) => {
    const run = (world: DiskWorld) => world.runLossBeforeSuccessor();
    expect(await violations(run, seedRange(), options)).toEqual([]);
  });
});
