import { describe, expect, it } from 'vitest';
import { RetryDelays } from './RetryDelays.js';

describe('RetryDelays', () => {
  const nextDelays = (delays: RetryDelays, count: number) =>
    Array.from({ length: count }, () => delays.next());

  it('start with the shortest delay, then double up to the maximum', () => {
    const delays = new RetryDelays({ firstMs: 40, maxMs: 120, quickRetries: 3 });
    expect(nextDelays(delays, 6)).toEqual([40, 40, 40, 80, 120, 120]);
  });

  it('start over after a reset', () => {
    const delays = new RetryDelays({ firstMs: 40, maxMs: 1_000, quickRetries: 1 });
    nextDelays(delays, 5);
    delays.reset();
    expect(nextDelays(delays, 3)).toEqual([40, 80, 160]);
  });
});
