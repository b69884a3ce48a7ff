import { describe, expect, it } from 'vitest';
import { endsTooLate, planStop } from './StopTimes.js';

const buildStop = (changes: Partial<Parameters<typeof planStop>[0]> = {}) => ({
  startedAtMs: 1_000,
  stopMs: 600_000,
  directoryValidMs: 5_000,
  ...changes,
});

describe('times of a planned stop', () => {
  it('accepts connections until the directory answers of callers have expired', () => {
    expect(planStop(buildStop()).listenUntilMs).toBe(6_000);
  });

  it.each([1_000, 10_000, 30_000, 90_000, 600_000])(
    'come in order and leave time to close, for a stop of %i ms',
    (stopMs) => {
      const stop = buildStop({ stopMs, directoryValidMs: 600_000 });
      const { listenUntilMs, answerByMs, flushUntilMs } = planStop(stop);
      expect(listenUntilMs).toBeGreaterThan(stop.startedAtMs);
      expect(answerByMs).toBeGreaterThan(listenUntilMs);
      expect(flushUntilMs).toBeGreaterThan(answerByMs);
      expect(stop.startedAtMs + stopMs).toBeGreaterThan(flushUntilMs);
    },
  );

  it('admit a call exactly as long as its time limit ends by the last answer', () => {
    const { answerByMs } = planStop(buildStop());
    expect(endsTooLate(answerByMs, answerByMs)).toBe(false);
    expect(endsTooLate(answerByMs + 1, answerByMs)).toBe(true);
    expect(endsTooLate(Number.MAX_VALUE, Number.POSITIVE_INFINITY)).toBe(false);
  });
});
