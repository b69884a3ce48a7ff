import { describe, expect, it } from 'vitest';
import { DispatchOutcomeType } from './DispatchTypes.js';
import { createAnswer, createBackend, createDispatchWorld, createHealth } from './fixtures.js';
import { LimitReadingType } from './Types.js';

const LIMIT = { type: LimitReadingType.Named, perSecond: 1 } as const;

function createWorld(limitedIds: readonly string[]) {
  const world = createDispatchWorld({
    backends: ['b-1', 'b-2', 'b-3'].map((id) => createBackend(id)),
    attempts: [{ afterMs: 50, result: createAnswer() }],
    health: {
      'b-3': createHealth('b-3', { load: { running: 3, waiting: 2, slots: 3, slowdown: 1 } }),
    },
  });
  const nameLimits = () =>
    limitedIds.forEach((id) =>
      world.limits.noteReading(world.pool.get(id)!, LIMIT, world.nowMs(), world.nowMs()),
    );
  nameLimits();
  return { world, nameLimits };
}

describe('a call while backend servers name a limit of requests', () => {
  // Guards against a load chooser that prefers the short queues of limited backend servers.
  it('is sent to another one at once, without a probe to the limited ones', async () => {
    const { world } = createWorld(['b-1', 'b-2']);
    const { outcome } = await world.run();
    expect(outcome).toMatchObject({ type: DispatchOutcomeType.Answer, backendId: 'b-3' });
    expect(world.probes).toEqual(['b-3']);
  });

  it('is refused at once, with a time to return, if all of them are at their limit', async () => {
    const { world } = createWorld(['b-1', 'b-2', 'b-3']);
    const { outcome, endedAtMs } = await world.run();
    expect(outcome).toMatchObject({ type: DispatchOutcomeType.Refused, reason: 'limited' });
    expect(outcome.type === DispatchOutcomeType.Refused && outcome.retryAfterMs).toBeGreaterThan(0);
    expect(endedAtMs).toBe(0);
    expect(world.probes).toEqual([]);
  });

  it('is sent to a limited one when the limit allows it, without a probe', async () => {
    const { world } = createWorld(['b-1', 'b-2', 'b-3']);
    await world.advanceTo(1_500);
    const { outcome } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
    expect(world.probes).toEqual([]);
    expect(world.sent).toHaveLength(1);
  });

  it('is not kept from a limited one by a load that is old', async () => {
    const { world, nameLimits } = createWorld(['b-1', 'b-2', 'b-3']);
    ['b-1', 'b-2', 'b-3'].forEach((id) =>
      world.pool
        .get(id)!
        .noteLoad({ running: 3, waiting: 90, slots: 3, slowdown: 9 }, world.nowMs()),
    );
    await world.advanceTo(1_500);
    nameLimits();
    const { outcome } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
  });
});
