import { describe, expect, it } from 'vitest';
import { createRandom } from '../../common/Random.js';
import { createRoute, createService } from '../../common/routing/fixtures.js';
import { BackendView } from '../BackendView.js';
import type { PickResult } from '../DispatchTypes.js';
import { createBackend } from '../fixtures.js';
import type { Call } from '../Types.js';
import { OrderedPicker } from './OrderedPicker.js';
import { OrderDecision, decideOrder, type OrderInputs } from './SchedulingOrder.js';

const decide = (changes: Partial<OrderInputs>) =>
  decideOrder({
    objectiveLeftMs: 600,
    deadlineLeftMs: 7_000,
    expectedMs: 200,
    hasRoom: false,
    isOutranked: false,
    ...changes,
  });

describe('the scheduling order while every server has a queue', () => {
  // Guards against queues in which every call becomes late.
  it('a call that would be late waits, and one in time is sent', () => {
    expect(decide({ expectedMs: 590 })).toBe(OrderDecision.Wait);
    expect(decide({ expectedMs: 400 })).toBe(OrderDecision.Send);
  });

  // Guards against downloads that take the last slots from lookups, and against their starvation.
  it('an outranked call waits while its objective is far, then is sent', () => {
    expect(decide({ isOutranked: true, objectiveLeftMs: 3_000 })).toBe(OrderDecision.Wait);
    expect(decide({ isOutranked: true, objectiveLeftMs: 300 })).toBe(OrderDecision.Send);
    expect(decide({ isOutranked: true, hasRoom: true })).toBe(OrderDecision.Send);
  });

  // Guards against callers that learn at their deadline that the call had no chance.
  it('a call that misses its deadline is refused at once', () => {
    expect(decide({ expectedMs: 8_000 })).toBe(OrderDecision.Refuse);
  });
});

describe('a gateway at which calls wait for full servers', () => {
  function createWorld() {
    const timers: (() => void)[] = [];
    const view = new BackendView(createBackend('b-1'));
    view.noteLoad({ running: 3, waiting: 9, slots: 3, slowdown: 1 }, 0);
    const found = { view, expectedMs: 590, probes: 1, loadAgeMs: 0 };
    const picker = new OrderedPicker({
      picker: { pick: () => Promise.resolve(found) },
      workMs: () => 100,
      random: createRandom(7),
      nowMs: () => 0,
      setTimer: (unused, fire) => timers.push(fire),
    });
    const call: Call = {
      callId: 'call-1',
      route: createRoute('read', { priority: 0 }),
      service: 'alpha',
      arrivedAtMs: 0,
      dueAtMs: 7_000,
      objectiveAtMs: 600,
      fingerprint: () => '',
      isCallerConnected: () => true,
    };
    const pick = (tried: readonly string[] = []) =>
      picker.pick(call, createService('alpha'), new Set(tried));
    return { picker, pick };
  }

  // Guards against memory and late refusals that grow with the load.
  it('refuses further calls at once with spread retry times', async () => {
    const { picker, pick } = createWorld();
    const results: PickResult[] = [];
    Array.from({ length: 80 }).forEach(() => {
      pick().then(
        (result) => results.push(result),
        () => {},
      );
    });
    for (let turn = 0; turn < 10; turn += 1) {
      // eslint-disable-next-line no-await-in-loop
      await Promise.resolve();
    }
    expect(picker.waiting).toBe(64);
    const delays = results.map((result) => (result.view ? 0 : result.retryAfterMs));
    expect(new Set(delays).size).toBe(16);
  });

  // Guards against hedges and retries that block the results of attempts in progress.
  it('never delays a further attempt', async () => {
    const { pick } = createWorld();
    expect((await pick(['b-2'])).view).not.toBeNull();
  });
});
