import { describe, expect, it } from 'vitest';
import type { EntryHost } from '../common/Placement.js';
import { createRandom } from '../common/Random.js';
import { BackendView } from './BackendView.js';
import { createBackend, createEntryHost, createLimiter } from './fixtures.js';
import type { LimitReport, RequestLimiter } from './RequestLimiter.js';
import { LimitReadingType } from './Types.js';

const NONE = { type: LimitReadingType.None } as const;

const WINDOW_MS = 4_000;

const named = (perSecond: number) => ({ type: LimitReadingType.Named, perSecond }) as const;

/** Requests that the users allow in one window. */
const allowedFor = (perSecond: number) => 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;

function createHosts(count: number): EntryHost[] {
  return Array.from({ length: count }, (unused, index) =>
    createEntryHost(`entry-${index}`, index % 2 ? 'perth' : 'bunbury'),
  );
}

/** Entry hosts that each send to one backend server whenever they may. */
function createSenders(count: number, perSecond: number) {
  const hosts = createHosts(count);
  const view = new BackendView(createBackend('b-1'));
  const timesMs: number[] = [];
  const limiters = new Map<string, RequestLimiter>();
  hosts.forEach(({ id }) => {
    const limiter = createLimiter({ selfId: id });
    limiter.setEntryHosts(hosts);
    limiter.noteReading(view, named(perSecond), 0, 0);
    limiters.set(id, limiter);
  });
  const run = (
    fromMs: number,
    untilMs: number,
    answers: boolean,
    step = (nowMs: number) => nowMs,
  ) => {
    for (let nowMs = fromMs; nowMs < untilMs; nowMs += 20) {
      step(nowMs);
      limiters.forEach((limiter) => {
        if (!limiter.maySend(view, nowMs)) return;
        limiter.noteSent(view, nowMs);
        timesMs.push(nowMs);
        if (answers)
          limiters.forEach((other) => other.noteReading(view, named(perSecond), 0, nowMs));
      });
    }
  };
  const largestWindow = () =>
    Math.max(
      0,
      ...timesMs.map(
        (lastMs) => timesMs.filter((atMs) => atMs <= lastMs && lastMs - atMs <= WINDOW_MS).length,
      ),
    );
  return { hosts, view, limiters, timesMs, run, largestWindow };
}

describe('RequestLimiter', () => {
  it.each([
    [1, 1],
    [2, 0.3],
    [20, 1],
    [20, 1.1],
    [20, 3.7],
    [20, 17],
    [108, 1],
    [108, 40],
  ])(
    'keeps the sum over %i entry hosts within a limit of %d a second and uses it',
    (count, rate) => {
      const { run, timesMs, largestWindow } = createSenders(count, rate);
      run(0, 20_000, true);
      expect(largestWindow()).toBeLessThanOrEqual(allowedFor(rate));
      expect(timesMs.length).toBeGreaterThan(0.7 * rate * 20 - 3);
      expect(timesMs.length).toBeLessThanOrEqual(20 * rate + 5);
    },
  );

  it('keeps the sum while senders are replaced every half second', () => {
    const { hosts, run, limiters, largestWindow } = createSenders(20, 1);
    const random = createRandom(3);
    run(0, 30_000, true, (nowMs) => {
      if (nowMs % 500 === 0) {
        const list = hosts.filter(() => random.next() < 0.7);
        limiters.forEach((limiter) => limiter.setEntryHosts(list));
      }
      return nowMs;
    });
    expect(largestWindow()).toBeLessThanOrEqual(allowedFor(1));
  });

  it.each([0.5, 1, 1.1, 6])(
    'keeps the sum of %d a second while two entry hosts lack others',
    (rate) => {
      const { hosts, run, limiters, largestWindow } = createSenders(20, rate);
      hosts.slice(0, 2).forEach(({ id }, index) => {
        const others = hosts.slice(0, 10 + index);
        limiters.get(id)!.setEntryHosts(others);
      });
      run(0, 20_000, true);
      expect(largestWindow()).toBeLessThanOrEqual(allowedFor(rate));
    },
  );

  it('sends a few trials once nothing has confirmed a limit for long', () => {
    const { hosts, view, run, limiters, timesMs, largestWindow } = createSenders(20, 1);
    // The senders are listed but have no calls, so that no answer arrives.
    const silent = hosts.filter(({ id }) => {
      const limiter = limiters.get(id)!;
      return [2_000, 6_000].some((nowMs) => limiter.maySend(view, nowMs));
    });
    expect(silent).toHaveLength(3);
    silent.forEach(({ id }) => limiters.delete(id));
    run(6_000, 12_000, false);
    expect(timesMs).toHaveLength(0);
    run(12_000, 200_000, false);
    expect(timesMs.length).toBeGreaterThan(10);
    expect(largestWindow()).toBeLessThanOrEqual(allowedFor(1));
  });

  it('sends no burst when calls return after a pause', () => {
    const { run, timesMs } = createSenders(20, 1);
    run(100_000, 100_020, false);
    expect(timesMs.length).toBeLessThanOrEqual(5);
  });

  it('still sends a little to a backend server that names a limit of zero', () => {
    const { run, timesMs } = createSenders(20, 0);
    run(0, 100_000, true);
    expect(timesMs.length).toBeGreaterThan(3);
    expect(timesMs.length).toBeLessThan(15);
  });

  it('counts requests that were sent without permission', () => {
    const { hosts, limiters, view } = createSenders(1, 1);
    const limiter = limiters.get(hosts[0]!.id)!;
    expect(limiter.maySend(view, 900)).toBe(false);
    expect(limiter.maySend(view, 1_000)).toBe(true);
    for (let count = 0; count < 5; count += 1) limiter.noteSent(view, 1_000);
    expect(limiter.maySend(view, 5_900)).toBe(false);
    expect(limiter.maySend(view, 6_000)).toBe(true);
  });
});

describe('reports of a limit', () => {
  function createReporter() {
    const reports: LimitReport[] = [];
    const logged: Readonly<Record<string, unknown>>[] = [];
    const limiter = createLimiter({
      broadcast: (report) => reports.push(report),
      log: (event, fields) => logged.push({ event, ...fields }),
    });
    return { limiter, reports, logged, view: new BackendView(createBackend('b-1')) };
  }

  it('are sent at once when it is named, changed or ended, and rarely while it persists', () => {
    const { limiter, reports, logged, view } = createReporter();
    for (let nowMs = 0; nowMs < 1_000; nowMs += 10)
      limiter.noteReading(view, named(2), nowMs, nowMs);
    limiter.noteReading(view, named(1), 1_000, 1_010);
    for (let nowMs = 1_010; nowMs < 4_000; nowMs += 10) {
      limiter.noteReading(view, named(1), nowMs, nowMs);
    }
    limiter.noteReading(view, NONE, 4_000, 4_010);
    limiter.noteReading(view, NONE, 4_010, 4_020);
    expect(reports.map(({ perSecond }) => perSecond)).toEqual([2, 1, 1, null]);
    expect(logged.map(({ event, perSecond }) => [event, perSecond])).toEqual([
      ['backend_limit', 2],
      ['backend_limit', 1],
      ['backend_limit', 'none'],
    ]);
  });

  it('limit a host that has received no answer itself, and end the limit', () => {
    const { limiter, reports, view } = createReporter();
    const report = { backendId: 'b-1', bornMs: 1 };
    limiter.noteReport({ ...report, perSecond: 1 }, 0);
    expect(limiter.maySend(view, 10)).toBe(false);
    limiter.noteReport({ ...report, perSecond: null }, 20);
    expect(limiter.maySend(view, 20)).toBe(true);
    expect(reports).toEqual([]);
  });

  it('are ignored if they are malformed or concern an earlier incarnation', () => {
    const { limiter, view } = createReporter();
    const malformed = [Number.NaN, -1, 'x'] as number[];
    malformed.forEach((perSecond) =>
      limiter.noteReport({ backendId: 'b-1', bornMs: 1, perSecond }, 0),
    );
    expect(limiter.isLimited(view)).toBe(false);
    view.update(createBackend('b-1', { bornMs: 5 }), 0);
    limiter.noteReading(view, named(1), 0, 0);
    limiter.noteReport({ backendId: 'b-1', bornMs: 1, perSecond: 9 }, 10);
    limiter.noteReport({ backendId: 'b-1', bornMs: 1, perSecond: null }, 10);
    expect(limiter.isLimited(view)).toBe(true);
  });
});

describe('a limit', () => {
  it('is kept when an answer to an earlier request arrives without one', () => {
    const view = new BackendView(createBackend('b-1'));
    const limiter = createLimiter();
    limiter.noteReading(view, named(2), 0, 10);
    limiter.noteReading(view, NONE, 5, 20);
    expect(limiter.isLimited(view)).toBe(true);
  });

  it('is kept when a value is unreadable or missing; the value is logged', () => {
    const logged: Readonly<Record<string, unknown>>[] = [];
    const view = new BackendView(createBackend('b-1'));
    const limiter = createLimiter({ log: (event, fields) => logged.push({ event, ...fields }) });
    limiter.noteReading(view, named(2), 0, 10);
    limiter.noteReading(view, { type: LimitReadingType.Unreadable, text: 'nan' }, 11, 12);
    limiter.noteReading(view, { type: LimitReadingType.Unknown }, 11, 12);
    expect(limiter.isLimited(view)).toBe(true);
    expect(logged.at(-1)).toMatchObject({ event: 'limit_unreadable', value: 'nan' });
  });

  it('of backend servers that are gone is not kept for ever', () => {
    const limiter = createLimiter({ isKnown: () => false });
    for (let index = 0; index < 5_000; index += 1) {
      const view = new BackendView(createBackend(`b-${index}`));
      limiter.noteReading(view, named(2), index, index);
    }
    expect(limiter.size).toBeLessThan(300);
  });

  it('of an incarnation that has ended does not hold for the next one', () => {
    const view = new BackendView(createBackend('b-1'));
    const limiter = createLimiter();
    limiter.noteReading(view, named(2), 0, 10);
    view.update(createBackend('b-1', { bornMs: 2 }), 20);
    expect(limiter.isLimited(view)).toBe(false);
    expect(limiter.maySend(view, 20)).toBe(true);
  });
});
