import { describe, expect, it } from 'vitest';
import { RouteKind } from '../common/routing/Types.js';
import { DispatchOutcomeType } from './DispatchTypes.js';
import { createAnswer, createBackend, createDispatchWorld, createHealth } from './fixtures.js';
import { AttemptResultType, ProbeMiss, type AttemptResult } from './Types.js';

const BACKENDS = ['b-1', 'b-2', 'b-3', 'b-4'].map((id) => createBackend(id));
const UNKNOWN: AttemptResult = { type: AttemptResultType.Unknown, reason: 'ECONNRESET' };
const NOT_RUN: AttemptResult = { type: AttemptResultType.NotRun, reason: 'not run, status 503' };
const NOT_SENT: AttemptResult = { type: AttemptResultType.NotSent, reason: 'ECONNREFUSED' };
const answerAfter = (afterMs: number) => ({ afterMs, result: createAnswer() });
const NON_IDEMPOTENT = { kind: RouteKind.NonIdempotent };

describe('a call that is not idempotent', () => {
  it.each([
    ['a lost answer', UNKNOWN],
    ['an answer without its signature', createAnswer({ authentic: false })],
  ])('is not sent again after %s', async (name, result) => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 50, result }],
      route: NON_IDEMPOTENT,
    });
    const { outcome } = await world.run();
    expect(world.sent).toHaveLength(1);
    expect(outcome.type).toBe(DispatchOutcomeType.Failed);
  });

  it('is not hedged, however slow its attempt is', async () => {
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
    ['reported refusal', NOT_RUN],
    ['refused connection', NOT_SENT],
  ])('is sent to another backend server after a %s', async (name, result) => {
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

describe('an attempt that can not be created', () => {
  // Guards against a caller's connection that is broken off, and a server that stays busy for good.
  it.each([
    ['is replaced by another one', {}, DispatchOutcomeType.Answer],
    ['ends a call that may run once', NON_IDEMPOTENT, DispatchOutcomeType.Failed],
  ])('%s', async (name, route, expected) => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      unsendableIds: ['b-1', 'b-2', 'b-3'],
      attempts: [answerAfter(10)],
      route: { ...route, attemptsMax: 4 },
      retryRatio: 9,
    });
    const outcomes = [];
    for (let call = 0; call < 4; call += 1) {
      // Calls run one after the other.
      // eslint-disable-next-line no-await-in-loop
      outcomes.push((await world.run()).outcome.type);
    }
    expect(outcomes).toContain(expected);
    expect(BACKENDS.map(({ id }) => world.pool.get(id)!.inFlight)).toEqual([0, 0, 0, 0]);
  });
});

describe('refusals', () => {
  it('report "not run" only if no attempt may have run', async () => {
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

  it('are sent at once if no backend server can finish in time', async () => {
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

  it('are sent at once if no backend server is announced', async () => {
    const world = createDispatchWorld({ backends: [], attempts: [answerAfter(1)] });
    const { outcome, endedAtMs } = await world.run();
    expect(outcome).toMatchObject({ type: DispatchOutcomeType.Refused, reason: 'no-backend' });
    expect(endedAtMs).toBe(0);
  });
});

describe('backend servers that reject calls at random', () => {
  it('are replaced by others at once, and the caller may retry at once', async () => {
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

  it('are replaced from a share of the retry budget that hedging cannot use', () => {
    const { budget } = createDispatchWorld({ backends: [], attempts: [], retryRatio: 1 });
    for (let call = 0; call < 10; call += 1) budget.noteCall('alpha', 0);
    const spendAll = (share: number) => {
      let spent = 0;
      while (budget.trySpend('alpha', 0, share)) spent += 1;
      return spent;
    };
    expect(spendAll(0.7)).toBe(6);
    expect(spendAll(1)).toBe(3);
  });
});

describe('load that shifts within milliseconds', () => {
  it('is probed right before the call is sent, and slow backend servers are avoided', async () => {
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

  it('is probed further while every candidate so far has a queue, even a short one', async () => {
    const queue = { running: 3, waiting: 0, slots: 3, slowdown: 1 };
    const health = Object.fromEntries(
      ['b-1', 'b-2', 'b-3'].map((id) => [id, createHealth(id, { load: queue })]),
    );
    const world = createDispatchWorld({ backends: BACKENDS, health, attempts: [answerAfter(90)] });
    await world.run();
    expect(world.sent).toEqual(['b-4']);
  });

  // Guards against a search through all candidates whenever the own zone has no room: a call that is
  // sent to an idle server of another zone needs none of the further probes.
  it('ends the search at an idle server of another zone once the own zone was searched', async () => {
    const queue = { running: 3, waiting: 6, slots: 3, slowdown: 1 };
    const local = Array.from({ length: 8 }, (unused, index) => createBackend(`b-${index}`));
    const remote = Array.from({ length: 8 }, (unused, index) =>
      createBackend(`b-${index + 10}`, { availabilityZone: 'bunbury' }),
    );
    const world = createDispatchWorld({
      backends: [...local, ...remote],
      health: Object.fromEntries(local.map(({ id }) => [id, createHealth(id, { load: queue })])),
      attempts: [answerAfter(90)],
    });
    await world.run();
    expect(world.sent[0]).toMatch(/^b-1\d$/);
    expect(world.probes.length).toBeLessThanOrEqual(6);
  });

  // Guards against calls to servers of another zone whose load nobody has probed.
  it('does not end the search at a server of another zone that was not probed', async () => {
    const queue = { running: 3, waiting: 6, slots: 3, slowdown: 1 };
    const local = Array.from({ length: 8 }, (unused, index) => createBackend(`b-${index}`));
    const remote = createBackend('b-9', { availabilityZone: 'bunbury' });
    const world = createDispatchWorld({
      backends: [...local, remote],
      health: Object.fromEntries(local.map(({ id }) => [id, createHealth(id, { load: queue })])),
      mayProbe: (view) => view.record.id !== 'b-9',
      attempts: [answerAfter(90)],
    });
    await world.run();
    expect(world.probes).toHaveLength(8);
  });

  it('causes a hedged attempt when a slow phase begins during a call', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(700), answerAfter(90)],
    });
    const { outcome, endedAtMs } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
    expect(endedAtMs).toBeLessThan(250);
    expect(world.cancelled).toEqual([world.sent[0]]);
  });

  it('causes no hedged attempt if every other backend server is full', async () => {
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

  it('causes no hedged attempt beyond the retry budget', async () => {
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

describe('calls with an idle backend server in the same zone', () => {
  it('stay in that zone', async () => {
    const remote = createBackend('b-9', { availabilityZone: 'bunbury' });
    const world = createDispatchWorld({
      backends: [BACKENDS[0]!, remote],
      attempts: [answerAfter(90)],
    });
    await world.run();
    expect(world.sent).toEqual(['b-1']);
  });
});

describe('backend servers that answer no probe', () => {
  it('receive no call, since it goes to another backend server', async () => {
    const health = Object.fromEntries(['b-1', 'b-2', 'b-3'].map((id) => [id, ProbeMiss.Failed]));
    const world = createDispatchWorld({ backends: BACKENDS, health, attempts: [answerAfter(90)] });
    const { outcome } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
    expect(world.sent).toEqual(['b-4']);
  });
});

describe('callers that disconnect', () => {
  it('have their attempts cancelled', async () => {
    const world = createDispatchWorld({ backends: BACKENDS, attempts: [answerAfter(700)] });
    const running = world.run(400);
    await world.advanceTo(50);
    world.disconnectCaller();
    expect((await running).outcome.type).toBe(DispatchOutcomeType.Abandoned);
    expect(world.cancelled).toEqual(world.sent);
  });
});

describe('cold backend servers', () => {
  it('receive calls only from the entry hosts that share their rate', async () => {
    const backends = [createBackend('b-1', { coldLeftMs: 3_000 })];
    const sender = createDispatchWorld({ backends, attempts: [answerAfter(90)] });
    expect((await sender.run()).outcome.type).toBe(DispatchOutcomeType.Answer);
    const otherHost = createDispatchWorld({
      backends,
      attempts: [answerAfter(90)],
      selfId: 'entry-9',
    });
    expect((await otherHost.run()).outcome).toMatchObject({ reason: 'cold' });
  });

  it('are detected by a probe even if no announcement reported them as cold', async () => {
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

  it('reports the pick with its load and the age of the load', async () => {
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
      probes: 1,
    });
  });

  it('reports how an attempt failed and whether the call may have run', async () => {
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
      // Log lines of picks are sampled, so the line of a failure includes its pick.
      cause: 'first',
      probes: 1,
      loadAgeMs: 0,
      running: 0,
      slowdown: 1,
    });
  });

  it('reports a backend server whose connection broke, to detect calls that crash it', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 7, result: UNKNOWN }, answerAfter(90)],
    });
    await world.run();
    expect(world.lostConnections).toEqual([world.sent[0]]);
  });

  it('reports the loads that caused a refusal', async () => {
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

  it('reports an attempt that was still running at the deadline of its call', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(5_000)],
      route: NON_IDEMPOTENT,
    });
    await world.run();
    expect(lineOf(world, 'attempt_overdue')).toMatchObject({
      backend: world.sent[0],
      cause: 'first',
      probes: 1,
      loadAgeMs: 0,
    });
  });

  it('can report the pick of a late call, since the outcome has its inputs', async () => {
    const world = createDispatchWorld({ backends: BACKENDS, attempts: [answerAfter(90)] });
    const { outcome } = await world.run();
    expect(outcome).toMatchObject({ inputs: { cause: 'first', probes: 1, slowdown: 1 } });
  });

  it('reports why a late call was not hedged', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [answerAfter(700)],
      retryRatio: 0,
    });
    await world.run();
    expect(lineOf(world, 'second_copy_refused')).toMatchObject({ reason: 'retry budget' });
  });

  it('reports the changes that a probe finds', async () => {
    const health = {
      'b-1': ProbeMiss.Failed,
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
