import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { StartupGate } from './StartupGate.js';

/** Creates a gate in virtual time; `releasedAtMs` lists the release times of calls. */
function createGate() {
  let nowMs = 1_000;
  const timers: { atMs: number; fire: () => void }[] = [];
  const gate = new StartupGate({
    nowMs: () => nowMs,
    setTimer: (delayMs, fire) => {
      const timer = { atMs: nowMs + delayMs, fire };
      timers.push(timer);
      return () => {
        const index = timers.indexOf(timer);
        if (index >= 0) timers.splice(index, 1);
      };
    },
  });
  const releasedAtMs: number[] = [];
  const settle = () => nextTurn();
  return {
    gate,
    releasedAtMs,
    timers,
    call: async (budgetMs: number) => {
      gate.wait(budgetMs).then(
        () => releasedAtMs.push(nowMs),
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
    expect(world.releasedAtMs).toEqual([]);
    world.gate.open();
    await world.settle();
    expect(world.releasedAtMs).toEqual([1_200, 1_200]);
    expect(world.timers).toEqual([]);
    await world.call(1_200);
    expect(world.releasedAtMs).toHaveLength(3);
  });

  it('wait only for a share of their time budget and at most 350 ms', async () => {
    const world = createGate();
    await world.call(5_000);
    await world.call(200);
    await world.advanceTo(1_060);
    expect(world.releasedAtMs).toEqual([1_060]);
    await world.advanceTo(1_350);
    expect(world.releasedAtMs).toEqual([1_060, 1_350]);
  });

  it('do not wait at a gateway that is still without routing after the startup time', async () => {
    const world = createGate();
    await world.advanceTo(3_000);
    await world.call(1_200);
    expect(world.releasedAtMs).toEqual([3_000]);
  });

  it('do not wait when 256 calls are waiting already', async () => {
    const world = createGate();
    await Promise.all(Array.from({ length: 300 }, () => world.call(1_200)));
    expect(world.releasedAtMs).toHaveLength(300 - 256);
  });
});
