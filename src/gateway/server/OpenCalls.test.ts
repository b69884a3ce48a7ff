import type { ServerResponse } from 'node:http';
import { describe, expect, it } from 'vitest';
import type { EgretError } from '../../common/Errors.js';
import { StopSchedule } from '../StopSchedule.js';
import { AttemptResultType, type AttemptResult } from '../Types.js';
import { PeerAnswer } from './ForwardMark.js';
import { OpenCall } from './OpenCall.js';
import { OpenCalls } from './OpenCalls.js';

const STOP_MS = 6_000;
const LONG_LIMIT_MS = 2 * STOP_MS;
const NOT_RUN: AttemptResult = { type: AttemptResultType.NotRun, reason: 'not run' };
const UNKNOWN: AttemptResult = { type: AttemptResultType.Unknown, reason: 'ECONNRESET' };

/** Open calls of a host that stops from time 0 on, with a clock that the test sets. */
function createWorld() {
  let nowMs = 0;
  const refused: { statusCode: number; peerAnswer: PeerAnswer | undefined }[] = [];
  const schedule = new StopSchedule({ startedAtMs: 0, stopMs: STOP_MS });
  const calls = new OpenCalls({
    answers: {
      refuse: (response, callId, error: EgretError, peerAnswer) => {
        refused.push({ statusCode: error.statusCode, peerAnswer });
        Object.assign(response, { headersSent: true });
      },
    },
    metrics: { noteCall: () => {} },
    nowMs: () => nowMs,
    log: () => {},
    stopSchedule: () => schedule,
  });
  let resumed = 0;
  const createResponse = () => {
    const req = {
      resume: () => {
        resumed += 1;
      },
    };
    return { headersSent: false, req } as unknown as ServerResponse;
  };
  return {
    calls,
    refused,
    schedule,
    resumed: () => resumed,
    setTime: (timeMs: number) => {
      nowMs = timeMs;
    },
    /** Opens a repeatable call that arrives now. */
    open(limitMs = LONG_LIMIT_MS): OpenCall {
      const call = new OpenCall(createResponse());
      call.setLimit({
        route: 'read',
        arrivedAtMs: nowMs,
        endsAtMs: nowMs + limitMs,
        isRepeatable: true,
      });
      calls.add(call);
      return call;
    },
  };
}

const attemptWith = (result: AttemptResult) => ({
  result: Promise.resolve(result),
  cancel: () => {},
});

const running = { result: new Promise<AttemptResult>(() => {}), cancel: () => {} };

describe('open calls in a planned stop', () => {
  // Guards against "not run" for a call at which a backend server may be at work.
  it('are not refused while an attempt may have run', async () => {
    const world = createWorld();
    const call = world.open();
    call.track(attemptWith(NOT_RUN));
    call.track(attemptWith(UNKNOWN));
    await Promise.resolve();
    world.setTime(STOP_MS / 2);
    world.calls.refuseLate();
    expect(world.refused).toEqual([]);
    world.setTime(world.schedule.finishAtMs);
    world.calls.end();
    expect(world.refused).toEqual([{ statusCode: 504, peerAnswer: PeerAnswer.Final }]);
  });

  it('are ended while an attempt is running', () => {
    const world = createWorld();
    let abandoned = 0;
    const call = world.open();
    call.track(running);
    call.onAbandoned(() => {
      abandoned += 1;
    });
    world.setTime(world.schedule.finishAtMs);
    world.calls.refuseLate();
    expect(abandoned).toBe(0);
    world.calls.end();
    expect(world.refused.map(({ statusCode }) => statusCode)).toEqual([504]);
    expect(abandoned).toBe(1);
  });

  // Guards against holding a call that can't be served until the end of the stop.
  it('are refused as soon as too little time is left and none has run', async () => {
    const world = createWorld();
    const unsent = world.open();
    const rejected = world.open();
    rejected.track(attemptWith(NOT_RUN));
    await Promise.resolve();
    world.calls.refuseLate();
    expect(world.refused).toEqual([]);
    world.setTime(world.schedule.noticeUntilMs);
    world.calls.refuseLate();
    expect(world.refused).toEqual([
      { statusCode: 503, peerAnswer: PeerAnswer.Unsent },
      { statusCode: 503, peerAnswer: PeerAnswer.Final },
    ]);
    expect([unsent, rejected].map((call) => world.calls.admit(call))).toEqual([false, false]);
    expect(world.refused).toHaveLength(2);
  });

  // Guards against a body that is no longer read, which would hold the refusal back.
  it('have their bodies read on after a refusal', () => {
    const world = createWorld();
    world.setTime(world.schedule.finishAtMs);
    expect(world.calls.admit(world.open())).toBe(false);
    expect(world.resumed()).toBe(1);
  });

  it('are refused at the end if their route is not known yet', () => {
    const world = createWorld();
    world.calls.add(new OpenCall({ headersSent: false } as ServerResponse));
    world.calls.end();
    expect(world.refused.map(({ statusCode }) => statusCode)).toEqual([503]);
  });
});
