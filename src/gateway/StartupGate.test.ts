import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { StartupGate } from './StartupGate.js';

/** Creates a gate with simulated time; `passed` has the times at which calls were released. */
function createGate() {
  let nowMs = 1_000;
  const timers: { atMs: number; fire: () => void }[] = [];
  const gate = new StartupGate({
    nowMs: () => nowMs,
    setTimer: (delayMs, fire) => {
      const timer = { atMs: nowMs + delayMs, fire };
      timers.push(timer);
      return () => {
        const at = timers.indexOf(timer);
        if (at >= 0) timers.splice(at, 1);
      };
    },
  });
  const passed: number[] = [];
  const settle = () => nextTurn();
  return {
    gate,
    passed,
    timers,
    call: async (budgetMs: number) => {
      gate.wait(budgetMs).then(
        () => passed.push(nowMs),
        () => {},
      );
      await settle();
    },
    advanceTo: async (atMs: number) => {
      nowMs = atMs;
      [...timers].filter((timer) => timer.atMs <= nowMs).forEach((timer) => timer.fire());
      await settle();
    },
    settle,
  };
}

describe('calls that arrive while all hosts restart', () => {
  it('wait for routing and backend servers instead of being refused', async () => {
    const world = createGate();
    await world.call(1_200);
    await world.call(1_500);
    await world.advanceTo(1_200);
    expect(world.passed).toEqual([]);
    world.gate.open();
    await world.settle();
    expect(world.passed).toEqual([1_200, 1_200]);
    expect(world.timers).toEqual([]);
    await world.call(1_200);
    expect(world.passed).toHaveLength(3);
  });

  it('wait only for a share of their time budget and at most 350 ms', async () => {
    const world = createGate();
    await world.call(5_000);
    await world.call(200);
    await world.advanceTo(1_060);
    expect(world.passed).toEqual([1_060]);
    await world.advanceTo(1_350);
    expect(world.passed).toEqual([1_060, 1_350]);
  });

  it('do not wait at a gateway that is still without routing after the startup time', async () => {
    const world = createGate();
    await world.advanceTo(3_000);
    await world.call(1_200);
    expect(world.passed).toEqual([3_000]);
  });

  it('do not wait when 256 calls are waiting already', async () => {
    const world = createGate();
    await Promise.all(Array.from({ length: 300 }, () => world.call(1_200)));
    expect(world.passed).toHaveLength(300 - 256);
  });
});
