import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { BackendView } from './BackendView.js';
import { CallStanding, type CrashReport } from './CrashSuspects.js';
import { CrashWatch } from './CrashWatch.js';
import { createBackend } from './fixtures.js';

const CALL = () => 'GET /read/poison';
const OTHER_CALL = () => 'GET /read/other';

/** Simulates entry hosts that receive each other's reports, and backend servers that crash. */
function createWorld(hosts: number) {
  let nowMs = 0;
  let timers: { atMs: number; fire: () => void }[] = [];
  const crashed = new Set<string>();
  const broadcasts: CrashReport[] = [];
  const logged: string[] = [];
  const watches: CrashWatch[] = Array.from(
    { length: hosts },
    (unused, hostIndex) =>
      new CrashWatch({
        nowMs: () => nowMs,
        setTimer: (delayMs, fire) => {
          timers.push({ atMs: nowMs + delayMs, fire });
          return () => {};
        },
        isAlive: (view) => Promise.resolve(!crashed.has(view.record.id)),
        broadcast: (report) => {
          broadcasts.push(report);
          watches.forEach((watch, index) => index !== hostIndex && watch.note(report));
        },
        log: (event) => logged.push(event),
      }),
  );
  const advance = async (spanMs: number) => {
    nowMs += spanMs;
    const due = timers.filter((timer) => timer.atMs <= nowMs);
    timers = timers.filter((timer) => timer.atMs > nowMs);
    due.forEach((timer) => timer.fire());
    await nextTurn();
  };
  return {
    watches,
    broadcasts,
    logged,
    advance,
    /** A call crashes the backend server that runs it; the entry host of the call detects this. */
    crash: async (host: number, id: string, call = CALL) => {
      crashed.add(id);
      watches[host]!.noteConnectionLost(new BackendView(createBackend(id)), call);
      await advance(500);
    },
    /** Many backend servers crash at the same moment, each with the same call running. */
    crashTogether: async (ids: readonly string[]) => {
      ids.forEach((id) => crashed.add(id));
      ids.forEach((id, index) =>
        watches[index % watches.length]!.noteConnectionLost(
          new BackendView(createBackend(id)),
          CALL,
        ),
      );
      await advance(500);
    },
    reset: async (host: number, id: string) => {
      watches[host]!.noteConnectionLost(new BackendView(createBackend(id)), CALL);
      await advance(500);
    },
  };
}

describe('a call that was running when its connection broke', () => {
  it('is quarantined at all entry hosts after the third crash, whichever detects it', async () => {
    const world = createWorld(4);
    await world.crash(0, 'b-1');
    expect(world.watches.map((watch) => watch.standingOf(CALL))).toEqual(
      Array(4).fill(CallStanding.Suspect),
    );
    await world.crash(1, 'b-2');
    await world.crash(2, 'b-3');
    expect(world.watches.map((watch) => watch.standingOf(CALL))).toEqual(
      Array(4).fill(CallStanding.Quarantined),
    );
    expect(world.watches[3]!.standingOf(OTHER_CALL)).toBe(CallStanding.Clear);
    expect(world.broadcasts).toHaveLength(3);
    expect(new Set(world.logged)).toEqual(new Set(['call_suspected']));
  });

  it('is not suspected if the connection was only reset', async () => {
    const world = createWorld(2);
    await world.reset(0, 'b-1');
    expect(world.watches[0]!.standingOf(CALL)).toBe(CallStanding.Clear);
    expect(world.broadcasts).toEqual([]);
  });

  it('is not quarantined if many crash at once, as in the loss of a zone', async () => {
    const world = createWorld(3);
    await world.crashTogether(['b-1', 'b-2', 'b-3', 'b-4', 'b-5', 'b-6']);
    expect(world.watches[0]!.standingOf(CALL)).toBe(CallStanding.Suspect);
  });

  it('is clear again once it completed, or a minute after the last crash', async () => {
    const world = createWorld(1);
    await world.crash(0, 'b-1');
    world.watches[0]!.noteCompleted(CALL);
    expect(world.watches[0]!.standingOf(CALL)).toBe(CallStanding.Clear);
    await world.crash(0, 'b-2');
    await world.advance(61_000);
    expect(world.watches[0]!.standingOf(CALL)).toBe(CallStanding.Clear);
  });

  it('counts one incarnation once, whichever entry host reports it', async () => {
    const world = createWorld(2);
    await world.crash(0, 'b-1');
    await world.crash(1, 'b-1');
    await world.crash(0, 'b-1');
    expect(world.watches[0]!.standingOf(CALL)).toBe(CallStanding.Suspect);
  });
});
