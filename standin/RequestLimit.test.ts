import { describe, expect, it } from 'vitest';
import { createRandom } from '../src/common/Random.js';
import { PickPolicy } from '../src/gateway/DispatchTypes.js';
import { RoutedWorld, type RoutedWorldOptions } from './RoutedWorld.js';

const FIRST_SEED = 1;
const SEEDS = 20;

/** Draws a deployment whose backend servers name a limit while gateways restart. */
function drawOptions(seed: number, policy: PickPolicy): RoutedWorldOptions {
  const random = createRandom(seed);
  const draw = (min: number, max: number) => min + random.next() * (max - min);
  const drawInt = (min: number, max: number) => Math.floor(draw(min, max + 1));
  const backends = drawInt(6, 24);
  const slots = drawInt(2, 6);
  const workMs = draw(40, 150);
  const capacityPerSecond = (backends * slots * 1_000) / workMs;
  const callsPerSecond = capacityPerSecond * draw(0.1, 0.4);
  const perSecond = drawInt(0, 2) === 0 ? draw(5, 40) : draw(0.2, 3);
  return {
    policy,
    seed,
    gateways: drawInt(2, 24),
    backends,
    slots,
    queueMax: 4 * slots,
    workMs,
    objectiveMs: 3 * workMs,
    deadlineMs: 10 * workMs,
    phases: [{ durationMs: 14_000, callsPerSecond }],
    slowShare: 0.1,
    slowFactor: 5,
    slowPeriodMs: 500,
    limit: {
      backends: drawInt(1, Math.ceil(backends / 2)),
      perSecond,
      fromMs: 1_000,
      untilMs: 12_000,
    },
    restarts: { fromMs: 2_000, intervalMs: draw(400, 2_000), count: 6, downMs: draw(300, 3_000) },
    listDelayMaxMs: draw(0, 300),
  };
}

describe('backend servers that name a limit for all gateways together', { timeout: 60_000 }, () => {
  // Guards against gateways that ignore the limit, or that each apply it alone.
  it.each([PickPolicy.JustInTime, PickPolicy.TwoChoices])(
    'get no more requests than it allows, probes included, with policy %s',
    async (policy) => {
      const exceeded: string[] = [];
      let limitedRequests = 0;
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        const world = new RoutedWorld(drawOptions(seed, policy));
        // eslint-disable-next-line no-await-in-loop
        await world.run();
        limitedRequests += world.limitedRequests;
        if (world.limitExcesses.length > 0) {
          exceeded.push(`seed ${seed}: ${JSON.stringify(world.limitExcesses[0])}`);
        }
      }
      expect(exceeded).toEqual([]);
      expect(limitedRequests).toBeGreaterThan(0);
    },
  );
});
