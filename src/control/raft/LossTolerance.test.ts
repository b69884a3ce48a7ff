import { describe, expect, it } from 'vitest';
import { disksThatMayBeLost } from './LossTolerance.js';

describe('disks that may be lost', () => {
  it.each([
    // voters, silent, hostsLostAtOnce, disks
    [3, 0, 1, 1],
    [3, 1, 1, 0],
    [5, 0, 2, 2],
    [5, 1, 2, 1],
    [4, 0, 2, 2],
    [4, 1, 2, 1],
    [4, 2, 2, 0],
    [6, 1, 3, 2],
    [3, 1, 2, 0],
    [3, 0, 2, 2],
    [2, 0, 2, 1],
    [5, 3, 2, 0],
  ])('of %i voters, %i of them silent, with %i at once', (voters, silent, atOnce, disks) => {
    expect(disksThatMayBeLost({ voters, silent }, atOnce)).toBe(disks);
  });
});
