import { describe, expect, it } from 'vitest';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';

const createLimit = (slots = 3) => new ConcurrencyLimit({ slots, coldRampSuccesses: 2 });

function succeed(limit: ConcurrencyLimit, count: number): void {
  for (let done = 0; done < count; done += 1) limit.onSuccess();
}

describe('ConcurrencyLimit', () => {
  it('starts at one and rises with successes up to the number of slots', () => {
    const limit = createLimit();
    expect(limit.current).toBe(1);
    succeed(limit, 2);
    expect(limit.current).toBe(2);
    succeed(limit, 100);
    expect(limit.current).toBe(3);
  });

  it('falls by one on overload and recovers slowly', () => {
    const limit = createLimit();
    succeed(limit, 10);
    limit.onOverload();
    expect(limit.current).toBe(2);
    succeed(limit, 3);
    expect(limit.current).toBe(2);
    succeed(limit, 12);
    expect(limit.current).toBe(3);
  });

  it('returns to one when cold, and ramps more slowly after a failed ramp', () => {
    const limit = createLimit();
    succeed(limit, 10);
    limit.onColdStart();
    expect(limit.current).toBe(1);
    succeed(limit, 2);
    expect(limit.current).toBe(2);
    limit.onColdStart();
    succeed(limit, 2);
    expect(limit.current).toBe(1);
    succeed(limit, 2);
    expect(limit.current).toBe(2);
  });

  it('never falls below one', () => {
    const limit = createLimit();
    limit.onOverload();
    limit.setSlots(1);
    expect(limit.current).toBe(1);
  });
});
