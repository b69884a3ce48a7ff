import { describe, expect, it } from 'vitest';
import { createRandom } from '../src/common/Random.js';
import { PickPolicy } from '../src/gateway/DispatchTypes.js';
import { CutForm, RoutedWorld, type RoutedWorldOptions } from './RoutedWorld.js';

const FIRST_SEED = 1;
const SEEDS = 12;

/** Draws a deployment of which some gateways, but not all, lose their links to the backend servers. */
function drawOptions(seed: number, form: CutForm): RoutedWorldOptions {
  const random = createRandom(seed * 7_919);
  const draw = (min: number, max: number) => min + random.next() * (max - min);
  const drawInt = (min: number, max: number) => Math.floor(draw(min, max + 1));
  const backends = drawInt(3, 24);
  const slots = drawInt(2, 6);
  const workMs = draw(40, 150);
  const gateways = drawInt(2, 24);
  return {
    policy: PickPolicy.JustInTime,
    seed,
    gateways,
    backends,
    slots,
    queueMax: 4 * slots,
    workMs,
    objectiveMs: 3 * workMs,
    deadlineMs: 10 * workMs,
    phases: [
      {
        durationMs: 14_000,
        callsPerSecond: ((backends * slots * 1_000) / workMs) * draw(0.1, 0.4),
      },
    ],
    slowShare: 0.1,
    slowFactor: 5,
    slowPeriodMs: 500,
    listDelayMaxMs: draw(0, 250),
    nonIdempotentShare: 0.3,
    cut: { gateways: drawInt(1, Math.ceil(gateways * 0.7)), form, fromMs: 2_000, untilMs: 11_000 },
  };
}

describe('gateways that are cut off from all backend servers', { timeout: 60_000 }, () => {
  // Guards against a gateway that refuses calls which other gateways can serve.
  it.each(Object.values(CutForm))(
    'serve first tries about as often as the others, and run no call too often: links %s',
    async (form) => {
      const violations: string[] = [];
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
        const world = new RoutedWorld(drawOptions(seed, form));
        // eslint-disable-next-line no-await-in-loop
        await world.run();
        const { cutTries, otherTries, repeatedCalls } = world;
        const failed = cutTries.tries - cutTries.served;
        const share = cutTries.served / Math.max(1, cutTries.tries);
        const otherShare = otherTries.served / Math.max(1, otherTries.tries);
        if (failed > 10 + cutTries.tries / 50 && share < (2 / 3) * otherShare) {
          violations.push(`seed ${seed}: ${JSON.stringify({ cutTries, otherTries })}`);
        }
        if (repeatedCalls.length > 0) violations.push(`seed ${seed}: ${repeatedCalls[0]} repeated`);
      }
      expect(violations).toEqual([]);
    },
  );
});
