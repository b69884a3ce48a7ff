import { v4, v7 } from 'uuid';
import { describe, expect, it } from 'vitest';
import { checkKeyAge, parseKeyTimeMs } from './IdempotencyKey.js';

const NOW_MS = 1_700_000_000_000;
const RETENTION_MS = 60_000;

describe('parseKeyTimeMs', () => {
  it('reads the creation time of a UUIDv7', () => {
    expect(parseKeyTimeMs(v7({ msecs: NOW_MS })).unwrapOr(0)).toBe(NOW_MS);
  });

  it.each([v4(), '', 'order-17', `${v7()}0`])('refuses %j, which is not a UUIDv7', (key) => {
    expect(parseKeyTimeMs(key).isErr).toBe(true);
  });
});

describe('checkKeyAge', () => {
  it.each([
    [0, true],
    [RETENTION_MS - 1, true],
    [RETENTION_MS, false],
    [-299_000, true],
    [-301_000, false],
  ])('accepts a key that is %i ms old: %s', (ageMs, accepted) => {
    const options = { nowMs: NOW_MS, retentionMs: RETENTION_MS };
    expect(checkKeyAge(NOW_MS - ageMs, options).isOk).toBe(accepted);
  });
});
