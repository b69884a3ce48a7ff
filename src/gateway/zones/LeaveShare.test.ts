import { describe, expect, it } from 'vitest';
import { LeaveShare } from './LeaveShare.js';

/** Shares after picks at intervals of 20 ms; returns them with the time of the last one. */
function createShares(findings: readonly boolean[]) {
  const shares = new LeaveShare();
  let nowMs = 0;
  findings.forEach((hasLeft) => {
    nowMs += 20;
    shares.note('alpha', hasLeft, nowMs);
  });
  return { shares, nowMs };
}

const repeat = (count: number, hasLeft: boolean) => Array<boolean>(count).fill(hasLeft);

describe('the share of calls that leave their zone', () => {
  // Guards against zones that send all of their calls to each other in turn.
  it('skips the own zone for no call after a single pick that left', () => {
    const { shares, nowMs } = createShares([...repeat(20, false), true]);
    const skips = Array.from({ length: 20 }, () => shares.takeSkip('alpha', nowMs));
    expect(skips).not.toContain(true);
  });

  it('keeps searching the own zone with a tenth of the calls when all have left it', () => {
    const { shares, nowMs } = createShares(repeat(100, true));
    const skips = Array.from({ length: 100 }, () => shares.takeSkip('alpha', nowMs));
    expect(skips.filter(Boolean).length).toBeGreaterThanOrEqual(88);
    expect(skips.filter((skip) => !skip).length).toBeGreaterThanOrEqual(10);
  });

  // Guards against a zone that stays empty after its servers have recovered.
  it('returns to the own zone within two seconds without any finding', () => {
    const { shares, nowMs } = createShares(repeat(100, true));
    expect(shares.takeSkip('alpha', nowMs) || shares.takeSkip('alpha', nowMs)).toBe(true);
    const skips = Array.from({ length: 10 }, () => shares.takeSkip('alpha', nowMs + 2_000));
    expect(skips).not.toContain(true);
  });
});
