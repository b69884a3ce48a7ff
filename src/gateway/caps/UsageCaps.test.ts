import { describe, expect, it } from 'vitest';
import { createRandom } from '../../common/Random.js';
import { CapRefusal, UPDATE_TTL_MS, UsageCaps } from './UsageCaps.js';

const CUSTOMER = { name: 'a', keys: [], ratePerSecond: 10, burst: 10 };
const NO_LEVELS = { customers: [], levels: [], demand: [] };

function createCaps(gateways = 133) {
  const caps = new UsageCaps({
    bounds: { windowMs: 5_000, overshootRatio: 0.1, slackCalls: 20 },
    random: createRandom(3),
    gatewayCount: () => gateways,
  });
  caps.setCustomers([CUSTOMER, { name: 'free', keys: [] }]);
  return caps;
}

function admitMany(caps: UsageCaps, count: number, nowMs: number, customer = 'a'): number {
  const verdicts = Array.from({ length: count }, () => caps.admit({ customer, nowMs }));
  return verdicts.filter(({ admitted }) => admitted).length;
}

describe('UsageCaps', () => {
  it('guards against refusals of a customer that no update lists', () => {
    const caps = createCaps();
    caps.applyUpdate(NO_LEVELS, 1_000);
    expect(admitMany(caps, 50, 1_000)).toBe(50);
  });

  it('guards against refusals of calls without a customer, an unknown one or one without cap', () => {
    const caps = createCaps();
    expect(caps.admit({ customer: undefined, nowMs: 0 }).admitted).toBe(true);
    expect(admitMany(caps, 50, 0, 'free')).toBe(50);
    expect(admitMany(caps, 50, 0, 'unknown')).toBe(50);
  });

  it('guards against an overshoot: a demand of four times the served rate gets a quarter, spread', () => {
    const caps = createCaps();
    // Rate of 10 with half of the slack over the window: 12. The level is at the reserve of
    // 0.3 x (0.1 x 70 + 20), so that only the rate is admitted.
    caps.applyUpdate({ customers: ['a'], levels: [-8.1], demand: [48] }, 1_000);
    const admitted = admitMany(caps, 1_000, 1_000);
    expect(admitted).toBeGreaterThan(200);
    expect(admitted).toBeLessThan(300);
    const refusals = Array.from({ length: 100 }, () => caps.admit({ customer: 'a', nowMs: 1_000 }));
    const delays = refusals.flatMap((verdict) => (verdict.admitted ? [] : [verdict.retryAfterMs]));
    expect(Math.max(...delays)).toBeGreaterThan(Math.min(...delays) * 1.3);
    expect(Math.max(...delays)).toBeLessThan(7_500);
  });

  // Load: a customer somewhat above its cap, whose refused calls come back after seconds and use up
  // the rate of calls that could still be in time.
  it('guards against retries that come too late to be in time', () => {
    const caps = createCaps();
    caps.applyUpdate({ customers: ['a'], levels: [-40], demand: [48] }, 1_000);
    const verdicts = Array.from({ length: 50 }, () =>
      caps.admit({ customer: 'a', nowMs: 1_000, objectiveMs: 600 }),
    );
    const delays = verdicts.flatMap((verdict) => (verdict.admitted ? [] : [verdict.retryAfterMs]));
    expect(delays).toHaveLength(50);
    expect(Math.max(...delays)).toBeLessThan(600 / 2);
    expect(Math.min(...delays)).toBeGreaterThan(50);
  });

  it('guards against a paused gateway that uses an outdated update', () => {
    const caps = createCaps();
    caps.applyUpdate(NO_LEVELS, 1_000);
    const nowMs = 1_000 + UPDATE_TTL_MS + 1;
    expect(admitMany(caps, 50, nowMs)).toBeLessThanOrEqual(1);
    expect(caps.admit({ customer: 'a', nowMs })).toMatchObject({ reason: CapRefusal.NoUpdate });
  });

  it('guards against a sum of fixed allowances above the cap after a restart of all gateways', () => {
    const gateways = Array.from({ length: 133 }, (_, seed) => {
      const caps = new UsageCaps({
        bounds: { windowMs: 5_000, overshootRatio: 0.1, slackCalls: 20 },
        random: createRandom(seed + 1),
        gatewayCount: () => 133,
      });
      caps.setCustomers([CUSTOMER]);
      return caps;
    });
    const seconds = [0, 1, 2, 3, 4, 5];
    const admitted = gateways.map((caps) =>
      seconds.reduce((sum, second) => sum + admitMany(caps, 5, second * 1_000), 0),
    );
    expect(admitted.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(86);
  });

  it('guards against a lowered cap that an allowance of the old one outlives', () => {
    const caps = createCaps(1);
    expect(admitMany(caps, 5, 0)).toBeGreaterThan(0);
    caps.setCustomers([{ ...CUSTOMER, ratePerSecond: 0.1, burst: 0 }]);
    expect(admitMany(caps, 100, 0)).toBeLessThanOrEqual(2);
  });
});
