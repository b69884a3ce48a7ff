import { describe, expect, it } from 'vitest';
import { PickPolicy } from '../src/gateway/DispatchTypes.js';
import { RoutedWorld } from './RoutedWorld.js';

const BACKENDS = 20;
const SLOTS = 4;
const WORK_MS = 184;
const LIMIT = 42;

const simulate = (factor: number, probesPerServerPerSecond?: number) =>
  new RoutedWorld({
    policy: PickPolicy.JustInTime,
    seed: 7,
    gateways: 20,
    backends: BACKENDS,
    slots: SLOTS,
    queueMax: 16,
    workMs: WORK_MS,
    objectiveMs: 626,
    deadlineMs: 2_000,
    phases: [{ durationMs: 4_000, callsPerSecond: (factor * BACKENDS * SLOTS * 1_000) / WORK_MS }],
    slowShare: 0.1,
    slowFactor: 3,
    slowPeriodMs: 1_000,
    ...(probesPerServerPerSecond !== undefined && { probesPerServerPerSecond }),
  }).run();

describe('with twice the capacity', () => {
  // Guards against probes that take more requests than calls do when every server is full.
  it('the probes of all gateways stay within the limit, and a call needs one at most', async () => {
    const unbounded = await simulate(2);
    const bounded = await simulate(2, LIMIT);
    expect(unbounded.meanProbesMax).toBeGreaterThan(LIMIT);
    expect(bounded.meanProbesMax).toBeLessThanOrEqual(LIMIT);
    expect(bounded.probesPerCall).toBeLessThanOrEqual(1);
  });
});

describe('with half of the capacity', () => {
  // Guards against a budget that costs calls in time while there is no overload.
  it('as many calls are in time as without a budget', async () => {
    const unbounded = await simulate(0.5);
    const bounded = await simulate(0.5, LIMIT);
    expect(bounded.withinObjective).toBeGreaterThanOrEqual(unbounded.withinObjective - 0.005);
  });
});
