import { describe, expect, it } from 'vitest';
import { Timeline } from '../../fuzz/Timeline.js';
import { createRandom } from '../common/Random.js';
import { BackendView } from './BackendView.js';
import { createBackend } from './fixtures.js';
import { ConnectResult, ReachMonitor } from './ReachMonitor.js';

const REFUSED = () => ConnectResult.Refused;
const CONNECTED = () => ConnectResult.Connected;

/** Monitor with six backend servers in each of two services, in virtual time. */
function createWorld(serversPerService = 6) {
  const timeline = new Timeline();
  const views = ['alpha', 'beta'].flatMap((service) =>
    Array.from(
      { length: serversPerService },
      (unused, index) => new BackendView(createBackend(`${service}-${index}`, { service })),
    ),
  );
  const world = {
    connect: CONNECTED as (view: BackendView) => ConnectResult,
    changes: [] as { atMs: number; isCut: boolean }[],
    connects: 0,
  };
  const monitor = new ReachMonitor({
    random: createRandom(7),
    nowMs: () => timeline.nowMs,
    setTimer: (delayMs, fire) => {
      timeline.after(delayMs, fire);
      return () => {};
    },
    targets: () => views,
    tryConnect: (view, timeoutMs) => {
      world.connects += 1;
      const result = world.connect(view);
      const delayMs = result === ConnectResult.TimedOut ? timeoutMs : 1;
      return new Promise((resolve) => {
        timeline.after(delayMs, () => resolve(result));
      });
    },
    onChange: () => world.changes.push({ atMs: timeline.nowMs, isCut: monitor.isCut }),
    log: () => {},
  });
  const run = async (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 5) {
      timeline.advance(5);
      // eslint-disable-next-line no-await-in-loop
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  const failAll = () => views.forEach((view) => monitor.noteFailed(view));
  return { world, monitor, views, run, failAll };
}

describe('ReachMonitor', () => {
  it.each([ConnectResult.Refused, ConnectResult.TimedOut])(
    'detects the loss of all backend servers within half a second if connections are %s',
    async (result) => {
      const { world, monitor, run, failAll } = createWorld();
      world.connect = () => result;
      failAll();
      await run(500);
      expect(monitor.isCut).toBe(true);
      expect(monitor.isAnyReached).toBe(false);
    },
  );

  it('takes the failure of one service for that of its backend servers', async () => {
    const { world, monitor, run, failAll } = createWorld();
    world.connect = ({ record }) =>
      record.service === 'alpha' ? ConnectResult.Refused : ConnectResult.Connected;
    failAll();
    await run(500);
    expect(monitor.isCut).toBe(false);
  });

  it('opens few connections while one service keeps failing', async () => {
    const { world, monitor, run, failAll } = createWorld();
    world.connect = ({ record }) =>
      record.service === 'alpha' ? ConnectResult.Refused : ConnectResult.Connected;
    for (let turn = 0; turn < 100; turn += 1) {
      failAll();
      // eslint-disable-next-line no-await-in-loop
      await run(50);
    }
    expect(monitor.isCut).toBe(false);
    expect(world.connects).toBeLessThanOrEqual(5 * 12);
  });

  it('checks nothing while few backend servers fail, or others are connected to', async () => {
    const { world, monitor, views, run } = createWorld();
    views.slice(0, 3).forEach((view) => monitor.noteFailed(view));
    monitor.noteAnswered(views[0]!);
    views.slice(3, 4).forEach((view) => monitor.noteFailed(view));
    monitor.noteConnected();
    views.slice(4, 7).forEach((view) => monitor.noteFailed(view));
    await run(500);
    expect(world.connects).toBe(0);
  });

  it('detects it also while open connections answer', async () => {
    const { world, monitor, views, run } = createWorld();
    world.connect = REFUSED;
    views.forEach((view, index) => {
      if (index % 3 === 0) monitor.noteAnswered(view);
      else monitor.noteFailed(view);
    });
    await run(100);
    expect(monitor.isCut).toBe(true);
  });

  it('ends after a while of successful checks, with few connections', async () => {
    const { world, monitor, run, failAll } = createWorld();
    world.connect = REFUSED;
    failAll();
    await run(2_000);
    world.connect = CONNECTED;
    const before = world.connects;
    await run(1_200);
    expect(monitor.isCut).toBe(false);
    expect(world.connects - before).toBeLessThan(30);
  });

  it('ends later after each relapse, so that it does not flap', async () => {
    const { world, run, failAll } = createWorld();
    for (let turn = 0; turn < 20; turn += 1) {
      world.connect = turn % 2 ? CONNECTED : REFUSED;
      failAll();
      // eslint-disable-next-line no-await-in-loop
      await run(1_000);
    }
    expect(world.changes.length).toBeLessThanOrEqual(4);
  });

  // Guards against a host with calls for one small service that never checks its links.
  it('detects it from calls of one service with few backend servers', async () => {
    const { world, monitor, views, run } = createWorld();
    const small = new BackendView(createBackend('gamma-0', { service: 'gamma' }));
    views.push(small);
    world.connect = REFUSED;
    monitor.noteFailed(small);
    await run(100);
    expect(monitor.isCut).toBe(true);
  });

  it('detects the loss of the only backend server', async () => {
    const { world, monitor, views, run } = createWorld(1);
    world.connect = REFUSED;
    views.forEach((view) => monitor.noteFailed(view));
    await run(100);
    expect(monitor.isCut).toBe(true);
  });
});
