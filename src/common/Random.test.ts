import { describe, expect, it } from 'vitest';
import { createProcessRandom } from './Random.js';

const STARTED_AT_MS = 1_796_501_744_550;
const HOSTS = 200;

describe('createProcessRandom', () => {
  // Guards against hosts that make the same first decisions when they start together.
  it.each([
    ['in the same millisecond', 0],
    ['one millisecond after the other', 1],
  ])('begins with different values at hosts that start %s', (name, gapMs) => {
    const first = Array.from({ length: HOSTS }, (unused, index) =>
      createProcessRandom(`entry-${index}`, STARTED_AT_MS + index * gapMs).next(),
    );
    [0, 0.25, 0.5, 0.75].forEach((from) => {
      const share = first.filter((value) => value >= from && value < from + 0.25).length / HOSTS;
      expect(share).toBeGreaterThan(0.15);
      expect(share).toBeLessThan(0.35);
    });
  });

  it('begins with different values at each start of one host', () => {
    const first = [0, 1, 2].map((index) =>
      createProcessRandom('entry-1', STARTED_AT_MS + index).next(),
    );
    expect(new Set(first).size).toBe(3);
  });
});
