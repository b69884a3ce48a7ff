import { describe, expect, it } from 'vitest';
import { StopSchedule } from './StopSchedule.js';

const STARTED_AT_MS = 10_000;
const STOP_MS = 6_000;
const LIMIT_MS = 3_000;

const createSchedule = () => new StopSchedule({ startedAtMs: STARTED_AT_MS, stopMs: STOP_MS });

describe('the schedule of a planned stop', () => {
  it('has its phases in order and within the stop time', () => {
    const { noticeUntilMs, lingerUntilMs, finishAtMs, flushUntilMs } = createSchedule();
    const phasesMs = [STARTED_AT_MS, noticeUntilMs, lingerUntilMs, finishAtMs, flushUntilMs];
    expect([...phasesMs, STARTED_AT_MS + STOP_MS]).toEqual(
      [...phasesMs, STARTED_AT_MS + STOP_MS].sort((a, b) => a - b),
    );
  });

  // Guards against calls that are sent so late that the host ends them at work.
  it.each([true, false])('sends no call past its end (repeatable: %s)', (isRepeatable) => {
    const schedule = createSchedule();
    const { noticeUntilMs, finishAtMs } = schedule;
    for (let nowMs = noticeUntilMs; nowMs <= STARTED_AT_MS + STOP_MS; nowMs += 60) {
      for (let limitMs = 60; limitMs <= 2 * STOP_MS; limitMs += 300) {
        const isSent = schedule.maySend(nowMs, { limitMs, isRepeatable });
        expect(isSent).toBe(nowMs + limitMs <= finishAtMs);
      }
    }
  });

  it('sends calls whose limit ends exactly when calls are no longer awaited', () => {
    const schedule = createSchedule();
    const lastAtMs = schedule.finishAtMs - LIMIT_MS;
    expect(schedule.mayFinish(lastAtMs, LIMIT_MS)).toBe(true);
    expect(schedule.mayFinish(lastAtMs + 1, LIMIT_MS)).toBe(false);
  });

  // Guards against refusing the calls that were on their way when the signal came.
  it('sends repeatable calls at first, however long their limit, and no others', () => {
    const schedule = createSchedule();
    const limitMs = 10 * STOP_MS;
    const nowMs = STARTED_AT_MS + 1;
    expect(schedule.maySend(nowMs, { limitMs, isRepeatable: true })).toBe(true);
    expect(schedule.maySend(nowMs, { limitMs, isRepeatable: false })).toBe(false);
  });

  it('sends no call whose limit has ended', () => {
    const schedule = createSchedule();
    expect(schedule.maySend(STARTED_AT_MS, { limitMs: 0, isRepeatable: true })).toBe(false);
  });

  // Guards against sending a call after its caller was told that it has not run.
  it('never sends a call again that it has once refused', () => {
    const schedule = createSchedule();
    for (let dueAtMs = STARTED_AT_MS; dueAtMs < STARTED_AT_MS + 2 * STOP_MS; dueAtMs += 300) {
      let wasRefused = false;
      for (let nowMs = STARTED_AT_MS; nowMs < STARTED_AT_MS + STOP_MS; nowMs += 50) {
        const isSent = schedule.maySend(nowMs, { limitMs: dueAtMs - nowMs, isRepeatable: true });
        expect(isSent && wasRefused).toBe(false);
        wasRefused ||= !isSent;
      }
    }
  });
});
