import { describe, expect, it } from 'vitest';
import { RouteKind } from '../common/routing/Types.js';
import { DispatchOutcomeType, NoPickReason } from './DispatchTypes.js';
import { createAnswer, createBackend, createDispatchWorld } from './fixtures.js';
import { AttemptResultType, type AttemptResult } from './Types.js';

const BACKENDS = ['b-1', 'b-2', 'b-3'].map((id) => createBackend(id));
const NOT_RUN: AttemptResult = { type: AttemptResultType.NotRun, reason: 'not run, status 503' };
const UNKNOWN: AttemptResult = { type: AttemptResultType.Unknown, reason: 'ECONNRESET' };

/** The first attempt is sent in time; any further one would be sent too late. */
const SENDABLE_UNTIL_MS = 50;
const FIRST_ENDS_AT_MS = 100;

const createLateWorld = (result: AttemptResult, kind = RouteKind.Idempotent) =>
  createDispatchWorld({
    backends: BACKENDS,
    attempts: [{ afterMs: FIRST_ENDS_AT_MS, result }],
    route: { kind },
    sendableUntilMs: SENDABLE_UNTIL_MS,
  });

describe('attempts for which a planned stop leaves too little time', () => {
  // Guards against a retry that is cut at the end of a planned stop.
  it.each([
    ['refused if none has run', NOT_RUN, DispatchOutcomeType.Refused],
    ['failed if one may have run', UNKNOWN, DispatchOutcomeType.Failed],
  ])('are not sent as retries; the call is %s', async (name, result, outcomeType) => {
    const world = createLateWorld(result);
    const { outcome, endedAtMs } = await world.run();
    expect(outcome.type).toBe(outcomeType);
    expect(world.sent).toHaveLength(1);
    expect(endedAtMs).toBeLessThan(FIRST_ENDS_AT_MS + SENDABLE_UNTIL_MS);
  });

  // Guards against a non-idempotent call that is sent elsewhere and then cut at work.
  it('are not sent as retries of a non-idempotent call', async () => {
    const world = createLateWorld(NOT_RUN, RouteKind.NonIdempotent);
    const { outcome } = await world.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Refused);
    expect(world.sent).toHaveLength(1);
  });

  // Guards against a hedge that adds load shortly before the host cancels it.
  it('are not sent as hedges', async () => {
    const options = {
      backends: BACKENDS,
      attempts: [{ afterMs: 900, result: createAnswer() }],
    };
    const calm = createDispatchWorld(options);
    await calm.run();
    expect(calm.sent).toHaveLength(2);
    const stopping = createDispatchWorld({ ...options, sendableUntilMs: SENDABLE_UNTIL_MS });
    const { outcome } = await stopping.run();
    expect(outcome.type).toBe(DispatchOutcomeType.Answer);
    expect(stopping.sent).toHaveLength(1);
  });

  // Guards against a call that is sent although the time ran out while a server was picked.
  it('are not sent if the time runs out during the pick', async () => {
    const world = createDispatchWorld({
      backends: BACKENDS,
      attempts: [{ afterMs: 1, result: createAnswer() }],
      sendableUntilMs: 0,
    });
    const { outcome } = await world.run();
    expect(world.probes.length).toBeGreaterThan(0);
    expect(world.sent).toEqual([]);
    const reason = NoPickReason.Stopping;
    expect(outcome).toMatchObject({ type: DispatchOutcomeType.Refused, reason, attempts: 0 });
  });
});
