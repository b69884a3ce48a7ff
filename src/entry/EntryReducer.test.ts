import { describe, expect, it } from 'vitest';
import { World } from '../../fuzz/World.js';
import { BackendLifecycleState, ZoneState } from '../common/Enums.js';
import { ErrorKind } from '../common/Errors.js';
import { EntryEventType } from './Types.js';

/** World with a lossless network, run until it has settled. */
function createWorld(changes: Partial<ConstructorParameters<typeof World>[0]> = {}): World {
  const network = { dropRatio: 0, duplicateRatio: 0 };
  const world = new World({ seed: 3, network, ...changes });
  world.settle();
  return world;
}

function sendCalls(world: World, count: number, spacingMs = 2): void {
  for (let index = 0; index < count; index += 1) {
    world.call(index);
    world.run(spacingMs);
  }
}

const succeeded = (world: World) => world.results.filter((result) => result.error === null);

/** Entry hosts that may dispatch to a backend server now. */
function holders(world: World, backendId: string): string[] {
  return world.entries
    .filter((entry) => {
      const nowMs = world.timeline.nowMs * entry.options.clockRate;
      return entry.alive && entry.reducer.pools.findBackend(backendId)?.isLeased(nowMs);
    })
    .map((entry) => entry.options.id);
}

describe('leases', () => {
  it('are held by one entry host each, while calls are served through every entry host', () => {
    const world = createWorld();
    world.backends.forEach((backend) => {
      expect(holders(world, backend.backendId)).toHaveLength(1);
    });
    sendCalls(world, 300, 8);
    world.run(1_000);
    expect(succeeded(world)).toHaveLength(300);
  });

  it('are never held by two entry hosts, even if the old holder receives no announcements', () => {
    const world = createWorld();
    const { backendId } = world.backends[0]!;
    const [oldHolder] = holders(world, backendId);
    world.announcementsBlockedAt.add(oldHolder!);
    let moved = false;
    for (let step = 0; step < 600; step += 1) {
      world.call(step);
      world.run(5);
      const currentHolders = holders(world, backendId);
      expect(currentHolders.length).toBeLessThanOrEqual(1);
      moved ||= currentHolders.length === 1 && currentHolders[0] !== oldHolder;
    }
    expect(moved).toBe(true);
  });

  it('move to another entry host after the holder crashes with calls in flight', () => {
    const world = createWorld();
    sendCalls(world, 50);
    const [oldHolder] = holders(world, world.backends[0]!.backendId);
    world.entry(oldHolder!)!.crash();
    const before = succeeded(world).length;
    const survivors = world.entries.filter((entry) => entry.alive);
    for (let index = 0; index < 600; index += 1) {
      world.call(world.entries.indexOf(survivors[index % survivors.length]!));
      world.run(5);
    }
    world.run(1_500);
    expect(holders(world, world.backends[0]!.backendId)).toHaveLength(1);
    expect(succeeded(world).length).toBeGreaterThan(before + 300);
  });

  it.each([3, 56, 60, 77, 104, 109, 130])(
    'start at the cold limit after a backend server restarts under load (seed %i)',
    (seed) => {
      const world = createWorld({ seed, coldRequests: 4 });
      sendCalls(world, 200, 1);
      world.backends[0]!.restart();
      sendCalls(world, 400, 1);
      expect(world.oracle.checks).toBeGreaterThan(800);
    },
  );
});

describe('a planned stop of an entry host', () => {
  const SEEDS = Array.from({ length: 12 }, (unused, index) => index + 1);

  /** Refusals of calls that arrive at a stopping host every `spacingMs` while its leases move. */
  function refusalsDuringStop(seed: number, spacingMs: number, count: number): string[] {
    const network = { maxDelayMs: 30, dropRatio: 0, duplicateRatio: 0 };
    const world = createWorld({ seed, network, entryHosts: 4, backends: 6 });
    const index = seed % world.entries.length;
    const answeredBefore = world.results.length;
    world.entries[index]!.handle({ type: EntryEventType.Stop });
    for (let sent = 0; sent < count; sent += 1) {
      world.call(index);
      world.run(spacingMs);
    }
    world.run(3_000);
    const results = world.results.slice(answeredBefore);
    expect(results).toHaveLength(count);
    return results.flatMap((result) => (result.error ? [result.error.kind] : []));
  }

  // Guards against a lease that is given up before its new holder can use it.
  it('leaves a backend server without a leaseholder for at most two message delays', () => {
    const delayMs = 20;
    const network = { minDelayMs: delayMs, maxDelayMs: delayMs, dropRatio: 0, duplicateRatio: 0 };
    const world = createWorld({ network, entryHosts: 4 });
    const { backendId } = world.backends[0]!;
    const [oldHolder] = holders(world, backendId);
    world.entry(oldHolder!)!.handle({ type: EntryEventType.Stop });
    let withoutHolderMs = 0;
    for (let elapsedMs = 0; elapsedMs < 1_500; elapsedMs += 1) {
      world.run(1);
      const currentHolders = holders(world, backendId);
      expect(currentHolders.length).toBeLessThanOrEqual(1);
      if (currentHolders.length === 0) withoutHolderMs += 1;
    }
    expect(holders(world, backendId)).not.toContain(oldHolder);
    expect(withoutHolderMs).toBeLessThanOrEqual(2 * delayMs);
  });

  /** Refusals of calls that arrive at the other hosts while one stops that admits nothing more. */
  function refusalsBesideStop(seed: number): string[] {
    const network = { maxDelayMs: 30, dropRatio: 0, duplicateRatio: 0 };
    const world = createWorld({ seed, network, entryHosts: 4, backends: 6 });
    const index = seed % world.entries.length;
    const answeredBefore = world.results.length;
    world.entries[index]!.handle({ type: EntryEventType.Stop, answerByMs: 0 });
    for (let sent = 0; sent < 200; sent += 1) {
      world.call(index + 1 + (sent % (world.entries.length - 1)));
      world.run(2);
    }
    world.run(3_000);
    const results = world.results.slice(answeredBefore);
    return results.flatMap((result) => (result.error ? [result.error.kind] : []));
  }

  // Guards against a call that another host refuses because the peer it chose is stopping.
  it('has no call refused at another host because it is stopping', () => {
    const refusals = SEEDS.flatMap((seed) => refusalsBesideStop(seed));
    expect(refusals.filter((kind) => kind === ErrorKind.Stopping)).toEqual([]);
  });

  // Guards against a call that was sent nowhere and waits until it can no longer end in time.
  it('refuses waiting calls at its begin, and all that are open at its end', () => {
    const world = createWorld({ entryHosts: 2, backends: 1 });
    const [entry] = world.entries;
    for (let sent = 0; sent < 40; sent += 1) world.call(0);
    world.run(10);
    const open = entry!.reducer.status().calls;
    expect(open).toBeGreaterThan(0);
    entry!.handle({ type: EntryEventType.Stop, answerByMs: 0 });
    expect(entry!.reducer.pools.get('orders')?.queue.length ?? 0).toBe(0);
    entry!.handle({ type: EntryEventType.StopExpired });
    world.call(0);
    world.run(3_000);
    const kinds = world.results.map((result) => result.error?.kind ?? null);
    expect(kinds).toHaveLength(41);
    expect(kinds).toContain(ErrorKind.Stopping);
    expect(entry!.reducer.status().calls).toBe(0);
  });

  // Guards against a call that ends because its first peers have no lease yet.
  it('refuses no call for want of a backend server while the leases move', () => {
    const refusals = SEEDS.flatMap((seed) => refusalsDuringStop(seed, 4, 200));
    expect(refusals.filter((kind) => kind === ErrorKind.NoBackend)).toEqual([]);
  });
});

describe('removal from service', () => {
  it.each([
    ['a draining backend server', (world: World) => world.backends[0]!.drain()],
    [
      'a closed availability zone',
      (world: World) => {
        const leader = world.controls.findIndex((control) => control.reducer.raft.isLeader);
        world.changeZone(leader, 'north', ZoneState.Out, 'out');
      },
    ],
  ])('%s stops receiving new calls within seconds, even during a burst', (name, leave) => {
    const world = createWorld();
    sendCalls(world, 100, 1);
    leave(world);
    sendCalls(world, 2_000, 2);
    expect(world.oracle.checks).toBeGreaterThan(2_000);
    expect(world.backends.some((backend) => backend.state === BackendLifecycleState.Ready)).toBe(
      true,
    );
  });

  it('makes an entry host that is cut off refuse calls instead of using old settings', () => {
    const world = createWorld();
    world.network.cut(['entry-0'], 1);
    const leader = world.controls.findIndex((control) => control.reducer.raft.isLeader);
    world.changeZone(leader, 'south', ZoneState.Out, 'out');
    world.run(100);
    for (let index = 0; index < 300; index += 1) {
      world.call(0);
      world.run(20);
    }
    const refused = world.results.filter((result) => result.error?.kind === 'not-current');
    expect(refused.length).toBeGreaterThan(150);
  });
});

describe('a request that crashes backend servers', () => {
  it('crashes at most two when it is resent through every entry host', () => {
    const world = createWorld({ backends: 6 });
    for (let round = 0; round < 12; round += 1) {
      world.call(round, { crashesBackend: true });
      world.run(150);
    }
    const crashed = world.backends.filter((backend) => !backend.alive);
    expect(crashed.length).toBeLessThanOrEqual(2);
    world.run(2_000);
    const before = succeeded(world).length;
    sendCalls(world, 60, 5);
    world.run(1_500);
    expect(succeeded(world).length - before).toBe(60);
  });
});

describe('misbehaving backend servers', () => {
  it('that shed every request cause at most 5 % of calls to fail while others are free', () => {
    const world = createWorld();
    world.backends[0]!.sheds = true;
    sendCalls(world, 100, 10);
    world.run(1_500);
    expect(succeeded(world).length).toBeGreaterThanOrEqual(95);
  });

  it('that fail fast receive less than a tenth of the calls', () => {
    const world = createWorld();
    const [failing] = world.backends;
    sendCalls(world, 100, 8);
    failing!.failsFast = true;
    const before = failing!.requests;
    const calls = 800;
    sendCalls(world, calls, 4);
    world.run(1_000);
    // Fast failures make the server look idle. An equal share would be a quarter; the calls still
    // sent are the first failures and the probes.
    expect(failing!.requests - before).toBeLessThan(calls / 10);
    expect(succeeded(world).length).toBeGreaterThan(calls);
  });

  it('do not amplify load beyond the retry budget in a full outage', () => {
    const world = createWorld();
    sendCalls(world, 50, 5);
    world.run(1_000);
    world.backends.forEach((backend) => backend.crash());
    const before = world.results.length;
    let attempts = 0;
    world.entries.forEach((entry) => {
      const { options } = entry;
      const { onAdmitted } = options;
      Object.assign(options, {
        onAdmitted: (boot: string, revision: number) => {
          attempts += 1;
          onAdmitted(boot, revision);
        },
      });
    });
    const calls = 400;
    sendCalls(world, calls, 2);
    world.run(2_000);
    const refused = world.results.slice(before);
    expect(refused).toHaveLength(calls);
    // Each of three hosts may make a burst of ten retries beyond a tenth of its calls; a forwarded
    // call counts as one attempt at this host and one at the peer.
    expect(attempts).toBeLessThanOrEqual(2 * (calls * 1.1 + 3 * 10));
  });

  it('that always report zero load cause less than 5 % of calls to fail', () => {
    const world = createWorld();
    const [misreporting] = world.backends;
    world.entries.forEach((entry) => {
      const { announce } = entry;
      Object.assign(entry, {
        announce: (...args: Parameters<typeof announce>) => {
          const [announcement, ...rest] = args;
          const misreports = announcement.port === misreporting!.options.port;
          announce.call(
            entry,
            { ...announcement, ...(misreports && { load: { inFlight: 0 } }) },
            ...rest,
          );
        },
      });
    });
    sendCalls(world, 400, 8);
    world.run(1_500);
    expect(succeeded(world).length).toBeGreaterThan(380);
  });
});

describe('non-idempotent calls', () => {
  it('run once when sent at the same moment through every entry host', () => {
    const world = createWorld();
    const keys = Array.from({ length: 40 }, () => world.createKey());
    keys.forEach((key) => {
      world.entries.forEach((entry, index) => world.call(index, { key }));
      world.run(15);
    });
    world.run(2_000);
    keys.forEach((key, index) => world.call(index, { key }));
    world.run(2_000);
    const replayed = world.results.slice(-keys.length);
    expect(replayed.map((result) => result.error)).toEqual(keys.map(() => null));
  });

  it('are refused as not run without a majority, while idempotent calls continue', () => {
    const world = createWorld();
    sendCalls(world, 20, 5);
    const leader = world.controls.find((control) => control.reducer.raft.isLeader)!;
    leader.crash();
    const key = world.createKey();
    world.call(0, { key });
    world.call(1);
    world.run(300);
    expect(succeeded(world).length).toBeGreaterThan(19);
    world.run(2_500);
    expect(world.results.some((result) => result.outcome === 'unknown')).toBe(false);
    world.controls.filter((control) => control.alive)[0]!.crash();
    world.run(4_000);
    world.call(0, { key: world.createKey() });
    world.run(2_000);
    expect(world.results.at(-1)?.outcome).toBe('not-run');
  });
});

describe('a limit of requests that backend servers announce', () => {
  const LIMIT_PER_SECOND = 4;

  // Guards against a limit that each leaseholder applies anew while leases move.
  it('holds over all entry hosts while entry hosts restart; further calls are refused soon', () => {
    const world = createWorld();
    world.backends.forEach((backend) => {
      Object.assign(backend, { requestsPerSecond: LIMIT_PER_SECOND });
    });
    world.run(3_000);
    const windows: number[] = [];
    for (let second = 0; second < 24; second += 1) {
      const before = world.backends.map((backend) => backend.requests);
      for (let step = 0; step < 100; step += 1) {
        world.call(step);
        world.run(10);
      }
      windows.push(
        Math.max(...world.backends.map((backend, index) => backend.requests - before[index]!)),
      );
      const entry = world.entries[second % world.entries.length]!;
      if (second % 4 === 1) entry.crash();
      if (second % 4 === 2)
        world.entries.filter((item) => !item.alive).forEach((item) => item.start());
    }
    const inFourSeconds = windows
      .slice(3)
      .map((unused, index) =>
        windows.slice(index, index + 4).reduce((sum, count) => sum + count, 0),
      );
    expect(Math.max(...inFourSeconds)).toBeLessThanOrEqual(1.5 * LIMIT_PER_SECOND * 4 + 5);
    expect(Math.max(...windows)).toBeGreaterThan(0);
    const refused = world.results.filter(({ error }) => error !== null);
    expect(refused.length).toBeGreaterThan(0);
  });
});
