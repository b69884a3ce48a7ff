import { describe, expect, it } from 'vitest';
import { RouteKind } from '../common/routing/Types.js';
import { DispatchOutcomeType } from './DispatchTypes.js';
import { createAnswer, createBackend, createDispatchWorld, createHealth } from './fixtures.js';
import { AttemptResultType, type AttemptResult } from './Types.js';

const BACKENDS = ['b-1', 'b-2', 'b-3', 'b-4'].map((id) => createBackend(id));
const UNKNOWN: AttemptResult = { type: AttemptResultType.Unknown, reason: 'ECONNRESET' };
const NOT_RUN: AttemptResult = { type: AttemptResultType.NotRun, reason: 'not run, status 503' };
const NOT_SENT: AttemptResult = { type: AttemptResultType.NotSent, reason: 'ECONNREFUSED' };
const answerAfter = (afterMs: number) => ({ afterMs, result: createAnswer() });
const NON_IDEMPOTENT = { kind: RouteKind.NonIdempotent };

describe('one send for calls that may run once', () => {
  it.each([
    ['a lost answer', UNKNOWN],
    ['an answer without its mark', createAnswer({ authentic: false })],
  ])('is not repeated after %s', async (name, result) => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 50, result }],
      route: NON_IDEMPOTENT,
    });
    const { outcome } = await world.run();
    expect(world.sent).toHaveLength(1);
    expect(outcome.type).toBe(DispatchOutcomeType.Failed);
  });

  it('gets no second copy however slow the first is', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(5_000)],
      route: NON_IDEMPOTENT,
    });
    const { outcome, endedAtMs } = await world.run();
    expect(world.sent).toHaveLength(1);
    expect(world.cancelled).toEqual(world.sent);
    expect(outcome.type).toBe(DispatchOutcomeType.TimedOut);
    expect(endedAtMs).toBe(1_200);
  });

  it.each([
    ['stated refusal', NOT_RUN],
    ['refused connection', NOT_SENT],
  ])('goes elsewhere after a %s', async (name, result) => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 5, result }, answerAfter(100)],
      route: NON_IDEMPOTENT,
    });
    const { outcome } = await world.run();
    expect(new Set(world.sent).size).toBe(2);
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
  });
});

describe('refusals', () => {
  it('say "not run" only if nothing may have run', async () => {
    const refused = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 5, result: NOT_RUN }],
    });
    expect((await refused.run()).outcome.type).toBe(DispatchOutcomeType.Refused);
    const mixed = createDispatchWorld({
      backends: BACKENDS,
      attempts: [
        { afterMs: 5, result: UNKNOWN },
        { afterMs: 5, result: NOT_RUN },
      ],
    });
    expect((await mixed.run()).outcome.type).toBe(DispatchOutcomeType.Failed);
  });

  it('come at once where nobody can finish in time', async () => {
    const slow = { running: 3, waiting: 9, slots: 3, slowdown: 7 };
    const health = Object.fromEntries(
      BACKENDS.map(({ id }) => [id, createHealth(id, { load: slow })]),
    );
    const world = createDispatchWorld({ backends: BACKENDS, health, attempts: [answerAfter(1)] });
    const { outcome, endedAtMs } = await world.run();
    expect(outcome).toMatchObject({ type: DispatchOutcomeType.Refused, reason: 'overloaded' });
    expect(endedAtMs).toBeLessThan(20);
    expect(world.sent).toEqual([]);
  });

  it('come at once where no backend server is announced', async () => {
    const world = createDispatchWorld({ backends: [], attempts: [answerAfter(1)] });
    const { outcome, endedAtMs } = await world.run();
    expect(outcome).toMatchObject({ type: DispatchOutcomeType.Refused, reason: 'no-backend' });
    expect(endedAtMs).toBe(0);
  });
});

describe('backend servers that turn calls away at random', () => {
  it('are tried again at once, and the caller may come back at once', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 2, result: NOT_RUN }],
      retryRatio: 9,
    });
    const { outcome, endedAtMs } = await world.run();
    expect(world.sent).toHaveLength(4);
    expect(endedAtMs).toBeLessThan(30);
    expect(outcome).toMatchObject({ type: DispatchOutcomeType.Refused, retryAfterMs: 15 });
  });

  it('get the part of the retry budget that second copies leave', () => {
    const { budget } = createDispatchWorld({ backends: [], attempts: [], retryRatio: 1 });
    for (let call = 0; call < 10; call += 1) budget.noteCall('alpha', 0);
    const takeAll = (share: number) => {
      let taken = 0;
      while (budget.tryTake('alpha', 0, share)) taken += 1;
      return taken;
    };
    expect(takeAll(0.7)).toBe(6);
    expect(takeAll(1)).toBe(3);
  });
});

describe('load that shifts within milliseconds', () => {
  it('is asked for right before the call is sent, and slow phases are avoided', async () => {
    const slow = { running: 0, waiting: 0, slots: 3, slowdown: 7 };
    const health = Object.fromEntries(
      ['b-1', 'b-2', 'b-3'].map((id) => [id, createHealth(id, { load: slow })]),
    );
    const world = createDispatchWorld({
      backends: BACKENDS,
      health,
      attempts: [answerAfter(90)],
    });
    await world.run();
    expect(world.sent).toEqual(['b-4']);
  });

  it('goes on asking while only queues were found, even short ones', async () => {
    const queue = { running: 3, waiting: 0, slots: 3, slowdown: 1 };
    const health = Object.fromEntries(
      ['b-1', 'b-2', 'b-3'].map((id) => [id, createHealth(id, { load: queue })]),
    );
    const world = createDispatchWorld({ backends: BACKENDS, health, attempts: [answerAfter(90)] });
    await world.run();
    expect(world.sent).toEqual(['b-4']);
  });

  it('is met by a second copy when a slow phase begins in the middle of a call', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(700), answerAfter(90)],
    });
    const { outcome, endedAtMs } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
    expect(endedAtMs).toBeLessThan(250);
    expect(world.cancelled).toEqual([world.sent[0]]);
  });

  it('costs no second copy where every other backend server is slow or full', async () => {
    const full = { running: 3, waiting: 6, slots: 3, slowdown: 1 };
    const health = Object.fromEntries(
      ['b-2', 'b-3', 'b-4'].map((id) => [id, createHealth(id, { load: full })]),
    );
    const world = createDispatchWorld({
      backends: BACKENDS,
      health,
      attempts: [answerAfter(700), answerAfter(90)],
    });
    await world.run();
    expect(world.sent).toEqual(['b-1']);
  });

  it('costs no second copy beyond the retry budget', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(700), answerAfter(90)],
      retryRatio: 0,
    });
    const { endedAtMs } = await world.run();
    expect(world.sent).toHaveLength(1);
    expect(endedAtMs).toBeGreaterThan(700);
  });
});

describe('large answers', () => {
  it('stay in the zone unless its backend servers are slow', async () => {
    const remote = createBackend('b-9', { availabilityZone: 'bunbury' });
    const world = createDispatchWorld({
      backends: [BACKENDS[0]!, remote],
      attempts: [answerAfter(90)],
    });
    await world.run();
    expect(world.sent).toEqual(['b-1']);
  });
});

describe('silent backend servers', () => {
  it('cost a probe, not the call', async () => {
    const health = { 'b-1': null, 'b-2': null, 'b-3': null };
    const world = createDispatchWorld({ backends: BACKENDS, health, attempts: [answerAfter(90)] });
    const { outcome } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
    expect(world.sent).toEqual(['b-4']);
  });
});

describe('callers that leave', () => {
  it('end their attempts', async () => {
    const world = createDispatchWorld({ backends: BACKENDS, attempts: [answerAfter(700)] });
    const running = world.run(400);
    await world.advanceTo(50);
    world.leave();
    expect((await running).outcome.type).toBe(DispatchOutcomeType.Abandoned);
    expect(world.cancelled).toEqual(world.sent);
  });
});

describe('cold backend servers', () => {
  it('get calls only from their owners', async () => {
    const backends = [createBackend('b-1', { coldLeftMs: 3_000 })];
    const owner = createDispatchWorld({ backends, attempts: [answerAfter(90)] });
    expect((await owner.run()).outcome.type).toBe(DispatchOutcomeType.Answer);
    const stranger = createDispatchWorld({
      backends,
      attempts: [answerAfter(90)],
      selfId: 'entry-9',
    });
    expect((await stranger.run()).outcome).toMatchObject({ reason: 'cold' });
  });

  it('are recognized by a probe although nobody announced it', async () => {
    const cold = createHealth('b-1', { coldLeftMs: 3_000 });
    const world = createDispatchWorld({
      backends: [BACKENDS[0]!],
      health: { 'b-1': cold },
      attempts: [answerAfter(90)],
      selfId: 'entry-9',
    });
    expect((await world.run()).outcome).toMatchObject({ reason: 'cold' });
    expect(world.sent).toEqual([]);
  });
});

describe('the log line of each decision', () => {
  const lineOf = (world: ReturnType<typeof createDispatchWorld>, event: string) =>
    world.logged.find((line) => line.event === event)?.fields;

  it('tells the pick with the load that decided it and its age', async () => {
    const world = createDispatchWorld({ backends: BACKENDS, attempts: [answerAfter(90)] });
    await world.run();
    expect(lineOf(world, 'attempt_sent')).toMatchObject({
      call: 'call-1',
      route: 'read',
      cause: 'first',
      service: 'alpha',
      zone: 'perth',
      running: 0,
      waiting: 0,
      slowdown: 1,
      loadAgeMs: 0,
      probes: 2,
    });
  });

  it('tells how an attempt failed and whether the call may have run', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 7, result: UNKNOWN }],
      route: NON_IDEMPOTENT,
    });
    await world.run();
    expect(lineOf(world, 'attempt_failed')).toMatchObject({
      call: 'call-1',
      backend: world.sent[0],
      outcome: AttemptResultType.Unknown,
      reason: 'ECONNRESET',
      elapsedMs: 7,
      // Lines of picks are sampled, so a failure tells its pick itself.
      cause: 'first',
      probes: 2,
      loadAgeMs: 0,
      running: 0,
      slowdown: 1,
    });
  });

  it('reports a backend server whose connection broke, for crashing calls to be found', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 7, result: UNKNOWN }, answerAfter(90)],
    });
    await world.run();
    expect(world.broken).toEqual([world.sent[0]]);
  });

  it('tells the loads behind a refusal', async () => {
    const load = { running: 3, waiting: 40, slots: 3, slowdown: 7 };
    const world = createDispatchWorld({
      backends: [BACKENDS[0]!],
      health: { 'b-1': createHealth('b-1', { load }) },
      attempts: [answerAfter(1)],
    });
    await world.run();
    const fields = lineOf(world, 'no_backend');
    expect(fields).toMatchObject({ call: 'call-1', reason: 'overloaded', probes: 1 });
    expect(fields?.loads).toMatch(/^3\+40\/3\*7=\d+$/);
  });

  it('tells an attempt that outlasted its call', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(5_000)],
      route: NON_IDEMPOTENT,
    });
    await world.run();
    expect(lineOf(world, 'attempt_overdue')).toMatchObject({
      backend: world.sent[0],
      cause: 'first',
      probes: 2,
      loadAgeMs: 0,
    });
  });

  it('hands the inputs of the pick on with the answer, for the line of a late one', async () => {
    const world = createDispatchWorld({ backends: BACKENDS, attempts: [answerAfter(90)] });
    const { outcome } = await world.run();
    expect(outcome).toMatchObject({ inputs: { cause: 'first', probes: 2, slowdown: 1 } });
  });

  it('tells why a late call got no second copy', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(700)],
      retryRatio: 0,
    });
    await world.run();
    expect(lineOf(world, 'second_copy_refused')).toMatchObject({ reason: 'retry budget' });
  });

  it('tells what a probe changed', async () => {
    const health = {
      'b-1': null,
      'b-2': createHealth('b-7'),
      'b-3': createHealth('b-3', { healthy: false, coldLeftMs: 2_000 }),
    };
    const world = createDispatchWorld({
      backends: BACKENDS.slice(0, 3),
      health,
      attempts: [answerAfter(90)],
    });
    await world.run();
    expect(lineOf(world, 'probe_unanswered')).toMatchObject({ backend: 'b-1' });
    expect(lineOf(world, 'probe_misdirected')).toMatchObject({
      backend: 'b-2',
      answeredBy: 'b-7',
    });
    expect(lineOf(world, 'backend_cold')).toMatchObject({ backend: 'b-3', coldLeftMs: 2_000 });
    expect(lineOf(world, 'backend_health')).toMatchObject({ backend: 'b-3', healthy: false });
  });
});
