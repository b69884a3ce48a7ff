import { describe, expect, it } from 'vitest';
import { UsageTotals } from '../../common/caps/UsageTotals.js';
import { UsageSums } from './UsageSums.js';

const BOUNDS = { windowMs: 5_000, overshootRatio: 0.1, slackCalls: 20 };
const LIMITS = new Map([['a', { ratePerSecond: 10, burst: 10 }]]);
const NO_LEVELS = { customers: [], levels: [] };
const NOW_MS = 10_000;

function createSums(startedAtMs = 0): UsageSums {
  const sums = new UsageSums(BOUNDS, startedAtMs);
  sums.setLimits(LIMITS, startedAtMs);
  return sums;
}

function report(totals: UsageTotals, admitted: number) {
  totals.add('a', { admitted, refused: 0 });
  return totals.take();
}

function levelOf(sums: UsageSums): number | undefined {
  return sums.update(NOW_MS).levels[0];
}

describe('UsageSums', () => {
  it('guards against counting a repeated report twice', () => {
    const sums = createSums();
    const columns = report(new UsageTotals(), 14);
    sums.noteReport('s', columns, NOW_MS);
    sums.noteReport('s', columns, NOW_MS);
    expect(levelOf(sums)).toBe(-4);
  });

  it('guards against the loss of a report: the next totals include it', () => {
    const sums = createSums();
    const totals = new UsageTotals();
    sums.noteReport('s', report(totals, 1), NOW_MS);
    report(totals, 8);
    sums.noteReport('s', report(totals, 5), NOW_MS);
    expect(levelOf(sums)).toBe(-4);
  });

  it('guards against counting what another control host counted before a gateway moved', () => {
    const sums = createSums();
    const totals = new UsageTotals();
    report(totals, 1_000);
    sums.noteReport('s', report(totals, 14), NOW_MS);
    expect(levelOf(sums)).toBe(-4);
  });

  it('guards against a full burst at a control host that has just started', () => {
    const sums = createSums(NOW_MS);
    sums.noteReport('s', report(new UsageTotals(), 3), NOW_MS);
    expect(levelOf(sums)).toBe(-3);
    const empty = new UsageTotals().take();
    sums.noteShare('peer', empty, { customers: ['a'], levels: [-9] }, NOW_MS);
    expect(levelOf(sums)).toBe(-9);
  });

  it('guards against a long debt from reports of calls before the window', () => {
    const sums = createSums();
    sums.noteReport('s', report(new UsageTotals(), 10_000), NOW_MS);
    expect(levelOf(sums)).toBe(-30);
  });

  it('guards against calls of absent gateways being counted twice once they report', () => {
    const sums = createSums();
    sums.noteShare('peer', report(new UsageTotals(), 14), NO_LEVELS, NOW_MS);
    const counted = sums.noteAbsent(new Map([['a', 0.5]]), 1_000, NOW_MS);
    expect(counted.get('a')).toBe(5);
    expect(levelOf(sums)).toBe(-9);
    sums.takeBack(counted, NOW_MS);
    expect(levelOf(sums)).toBe(-4);
  });
});
