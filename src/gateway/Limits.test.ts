import { describe, expect, it } from 'vitest';
import { createRandom } from '../common/Random.js';
import { createRoute } from '../common/routing/fixtures.js';
import { BackendPool } from './BackendPool.js';
import { ColdLimiter } from './ColdLimiter.js';
import { chooseEntryHosts, EntryHostView } from './EntryDirectory.js';
import { createBackend, createEntryHost } from './fixtures.js';
import { RetryBudget } from './RetryBudget.js';
import { SplitChooser } from './SplitChooser.js';
import { BackendView } from './BackendView.js';

/** Required bound: rate times 1.5 plus 5 calls in any second. */
const COLD_PER_SECOND = 9.4;
const COLD_BOUND = COLD_PER_SECOND * 1.5 + 5;

describe('ColdLimiter', () => {
  it('keeps the sum over all entry hosts within the rate', () => {
    const hosts = Array.from({ length: 20 }, (unused, index) =>
      createEntryHost(`entry-${index}`, index % 2 ? 'perth' : 'bunbury'),
    );
    const view = new BackendView(createBackend('b-1'));
    const limiters = hosts.map((host) => {
      const limiter = new ColdLimiter({ selfId: host.id });
      limiter.setEntryHosts(hosts);
      return limiter;
    });
    const sendAllowed = (nowMs: number) => {
      const allowed = limiters.filter((limiter) =>
        limiter.isWithinRate(view, COLD_PER_SECOND, nowMs),
      );
      allowed.forEach((limiter) => limiter.noteSent(view, nowMs));
      return allowed.length;
    };
    let sent = 0;
    for (let nowMs = 0; nowMs < 1_000; nowMs += 10) sent += sendAllowed(nowMs);
    expect(sent).toBeGreaterThan(0);
    expect(sent).toBeLessThanOrEqual(COLD_BOUND);
  });

  // Guards against a rate below one that is rounded up to one call a second.
  it('sends one call in each interval of a rate below one a second', () => {
    const view = new BackendView(createBackend('b-1'));
    const limiter = new ColdLimiter({ selfId: 'entry-1' });
    limiter.setEntryHosts([createEntryHost('entry-1')]);
    let sent = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      if (limiter.isWithinRate(view, 0.4, nowMs)) {
        limiter.noteSent(view, nowMs);
        sent += 1;
      }
    }
    expect(sent).toBe(4);
  });

  it('gives the share of a lost entry host to another entry host', () => {
    const hosts = Array.from({ length: 6 }, (unused, index) => createEntryHost(`entry-${index}`));
    const view = new BackendView(createBackend('b-1'));
    const allowed = (list: typeof hosts) =>
      list.filter((host) => {
        const limiter = new ColdLimiter({ selfId: host.id });
        limiter.setEntryHosts(list);
        return limiter.allowance(view, COLD_PER_SECOND) > 0;
      }).length;
    expect(allowed(hosts)).toBe(4);
    expect(allowed(hosts.slice(1))).toBe(4);
  });
});

describe('RetryBudget', () => {
  const createBudget = () =>
    new RetryBudget({ ratio: 0.2, windowMs: 10_000, slack: 68, startedAtMs: 0 });

  it('keeps the sum over all entry hosts within the bound, slack included', () => {
    const budgets = Array.from({ length: 20 }, createBudget);
    let calls = 0;
    let retries = 0;
    budgets.forEach((budget) => {
      budget.setEntryHosts(20);
      for (let nowMs = 10_000; nowMs < 20_000; nowMs += 100) {
        budget.noteCall('alpha', nowMs);
        calls += 1;
        if (budget.trySpend('alpha', nowMs)) retries += 1;
      }
    });
    expect(retries).toBeGreaterThan(0.1 * calls);
    expect(retries).toBeLessThanOrEqual(0.2 * calls + 68);
  });

  it('has no slack for one window after a restart, since earlier attempts are unknown', () => {
    const budget = createBudget();
    budget.setEntryHosts(1);
    expect(budget.trySpend('alpha', 100)).toBe(false);
    expect(budget.trySpend('alpha', 10_000)).toBe(true);
  });
});

describe('SplitChooser', () => {
  it('keeps the shares from the first calls on', () => {
    const route = createRoute('split', {
      destinations: [
        { service: 'a', weight: 90 },
        { service: 'b', weight: 10 },
      ],
    });
    const chosen: string[] = [];
    for (let host = 0; host < 20; host += 1) {
      const chooser = new SplitChooser(createRandom(host));
      for (let call = 0; call < 10; call += 1) chosen.push(chooser.next(route));
    }
    const share = chosen.filter((service) => service === 'b').length / chosen.length;
    expect(share).toBeGreaterThan(0.05);
    expect(share).toBeLessThan(0.15);
  });

  it('never chooses a service of weight 0', () => {
    const route = createRoute('split', {
      destinations: [
        { service: 'a', weight: 0 },
        { service: 'b', weight: 5 },
      ],
    });
    const chooser = new SplitChooser(createRandom(1));
    for (let call = 0; call < 100; call += 1) expect(chooser.next(route)).toBe('b');
  });
});

describe('BackendPool', () => {
  const createPool = () => new BackendPool({ availabilityZone: 'perth', random: createRandom(1) });
  const ids = (pool: BackendPool) => {
    const { local, remote } = pool.candidates({ service: 'alpha', nowMs: 0, tried: new Set() });
    return [...local, ...remote].map((view) => view.record.id).sort();
  };

  it('uses only the newest incarnation at an address, whichever is announced last', () => {
    const pool = createPool();
    const older = createBackend('b-1', { port: 80, bornMs: 5 });
    const newer = createBackend('b-2', { port: 80, bornMs: 9 });
    pool.apply([newer], 0);
    pool.apply([older], 1);
    expect(ids(pool)).toEqual(['b-2']);
    pool.apply([createBackend('b-1', { port: 81, bornMs: 10 })], 2);
    expect(ids(pool)).toEqual(['b-1', 'b-2']);
  });

  it('has no candidates in a closed zone', () => {
    const pool = createPool();
    pool.apply([createBackend('b-1'), createBackend('b-2', { availabilityZone: 'bunbury' })], 0);
    pool.setClosedZones(['perth']);
    expect(ids(pool)).toEqual(['b-2']);
    pool.setClosedZones([]);
    expect(ids(pool)).toEqual(['b-1', 'b-2']);
  });
});

describe('entry hosts in the directory', () => {
  const perth = ['e-1', 'e-2'].map((id) => createEntryHost(id, 'perth'));
  const bunbury = ['e-3', 'e-4'].map((id) => createEntryHost(id, 'bunbury'));
  const choose = (entryHosts: typeof perth, limit?: number) =>
    chooseEntryHosts({
      entryHosts,
      availabilityZone: 'perth',
      random: createRandom(1),
      limit,
    }).map((host) => host.id);

  it("are those of the caller's zone while there are enough", () => {
    expect(choose([...perth, ...bunbury])).toEqual(['e-1', 'e-2']);
    expect(choose([perth[0]!, ...bunbury])).toEqual(['e-1', 'e-3', 'e-4']);
    expect(choose([perth[0]!, { ...perth[1]!, stopping: true }, ...bunbury])).toHaveLength(3);
    expect(choose([...perth, ...bunbury], 1)).toHaveLength(1);
  });

  it('leave out hosts that reach no backend server while enough others are there', () => {
    const cut = (host: (typeof perth)[0]) => ({ ...host, cutOff: true });
    const third = createEntryHost('e-5', 'perth');
    expect(choose([cut(perth[0]!), perth[1]!, third, ...bunbury])).toEqual(['e-2', 'e-5']);
    // Less than half of the zone's hosts are left: those of the other zone share the load.
    const zone = ['e-6', 'e-7', 'e-8', 'e-9'].map((id) => cut(createEntryHost(id, 'perth')));
    expect(choose([...zone, ...perth, ...bunbury])).toEqual(['e-1', 'e-2', 'e-3', 'e-4']);
    expect(choose([...perth.map(cut), ...bunbury.map(cut)])).toEqual(['e-1', 'e-2']);
    expect(choose([perth[0]!, cut(perth[1]!), ...bunbury.map(cut)])).toEqual(['e-1', 'e-2']);
  });

  it('are those of open zones for callers in a closed zone', () => {
    const hosts = chooseEntryHosts({
      entryHosts: [...perth, ...bunbury],
      availabilityZone: 'perth',
      closedZones: ['perth'],
      random: createRandom(1),
    });
    expect(hosts.map((host) => host.id)).toEqual(['e-3', 'e-4']);
  });

  it('are kept when the last control host disconnects', () => {
    const view = new EntryHostView();
    view.update('c-1', perth);
    view.update('c-2', bunbury);
    expect(view.hosts()).toHaveLength(4);
    view.remove('c-1');
    expect(view.hosts()).toHaveLength(2);
    view.remove('c-2');
    expect(view.hosts()).toHaveLength(2);
    view.update('c-1', perth);
    expect(view.hosts().map((host) => host.id)).toEqual(['e-1', 'e-2']);
  });

  it('count as stopping as soon as one control host reports it', () => {
    const view = new EntryHostView();
    view.update('c-1', perth);
    view.update('c-2', [{ ...perth[0]!, stopping: true }]);
    expect(view.hosts().find((host) => host.id === 'e-1')?.stopping).toBe(true);
  });
});
