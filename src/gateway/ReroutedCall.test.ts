import { describe, expect, it } from 'vitest';
import { RouteKind } from '../common/routing/Types.js';
import { DispatchOutcomeType, NoPickReason } from './DispatchTypes.js';
import { createAnswer, createBackend, createDispatchWorld } from './fixtures.js';
import { AttemptResultType, type AttemptResult } from './Types.js';

const BACKENDS = [createBackend('b-1'), createBackend('b-2'), createBackend('b-3')];

/** Time at which the routing leads the calls elsewhere: after the first attempt was sent. */
const MOVED_AT_MS = 20;

const isRouted = (nowMs: number) => nowMs < MOVED_AT_MS;

const failed = (type: AttemptResultType.NotRun | AttemptResultType.Unknown): AttemptResult => ({
  type,
  reason: 'failed',
});

describe('a call whose route leads elsewhere after its first attempt', () => {
  // Guards against retries that are sent to a service which a confirmed change has replaced.
  it.each([
    ['refused, as nothing has run', AttemptResultType.NotRun, DispatchOutcomeType.Refused],
    ['failed, as it may have run', AttemptResultType.Unknown, DispatchOutcomeType.Failed],
  ] as const)('is %s', async (name, type, outcomeType) => {
    const attempts = [{ afterMs: 50, result: failed(type) }];
    const world = createDispatchWorld({ backends: BACKENDS, attempts, isRouted });
    const { outcome } = await world.run();
    expect(outcome.type).toBe(outcomeType);
    expect(world.sent).toHaveLength(1);
  });

  // Guards against hedges that are sent to it.
  it('is answered by its attempt without a hedge', async () => {
    const attempts = [{ afterMs: 900, result: createAnswer() }];
    const world = createDispatchWorld({ backends: BACKENDS, attempts, isRouted });
    const { outcome } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
    expect(world.sent).toHaveLength(1);
    const refused = world.logged.find(({ event }) => event === 'second_copy_refused');
    expect(refused?.fields.reason).toBe(NoPickReason.Rerouted);
  });
});

describe('a call whose route leads elsewhere while its backend server is picked', () => {
  // Guards against first attempts that are sent seconds after their service was chosen.
  it('is refused, not sent', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 50, result: createAnswer() }],
      // The pick waits for the answers to its probes.
      isRouted: (nowMs) => nowMs === 0,
      route: { kind: RouteKind.NonIdempotent },
    });
    const { outcome } = await world.run();
    expect(outcome).toMatchObject({
      type: DispatchOutcomeType.Refused,
      reason: NoPickReason.Rerouted,
      attempts: 0,
    });
    expect(world.sent).toEqual([]);
  });
});

describe('a call in progress when the zone of its backend servers is closed', () => {
  // Guards against retries to a closed zone.
  it('is sent again to an open zone only', async () => {
    const backends = [
      createBackend('b-1'),
      createBackend('b-2'),
      createBackend('b-3', { availabilityZone: 'bunbury' }),
    ];
    const attempts = [
      { afterMs: 50, result: failed(AttemptResultType.NotRun) },
      { afterMs: 50, result: createAnswer() },
    ];
    const world = createDispatchWorld({ backends, attempts });
    await expect(world.run(20)).rejects.toThrow('has not ended');
    expect(world.sent).not.toContain('b-3');
    world.pool.setClosedZones(['perth']);
    await world.advanceTo(1_000);
    expect(world.sent).toHaveLength(2);
    expect(world.sent[1]).toBe('b-3');
  });
});
