import { describe, expect, it } from 'vitest';
import { createProcessRandom, createRandom } from '../common/Random.js';
import { createRoute, createService, createTable } from '../common/routing/fixtures.js';
import type { Route } from '../common/routing/Types.js';
import { ActiveRouting } from './ActiveRouting.js';
import { SplitChooser } from './SplitChooser.js';

const GATEWAYS = 20;
const STARTED_AT_MS = 1_796_501_744_550;

function createSplit(weights: readonly number[], changes: Partial<Route> = {}): Route {
  const destinations = weights.map((weight, index) => ({ service: `s${index}`, weight }));
  return createRoute('split', { destinations, ...changes });
}

/** Number of calls of each service. */
function countServices(chosen: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  chosen.forEach((service) => counts.set(service, (counts.get(service) ?? 0) + 1));
  return counts;
}

/**
 * Services of the calls at gateways whose routing changes after every few calls.
 *
 * @param routesOf - routes of the table at each version, from 1 on
 */
function chooseAcrossChanges(options: {
  versions: number;
  callsPerVersion: number;
  routesOf: (version: number) => readonly Route[];
}): string[] {
  const { versions, callsPerVersion, routesOf } = options;
  const chosen: string[] = [];
  for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
    const routing = new ActiveRouting(createRandom(gateway));
    for (let version = 1; version <= versions; version += 1) {
      const routes = routesOf(version);
      const services = ['s0', 's1', 's2', 'alpha'].map((name) => createService(name));
      const table = { ...createTable(routes), services };
      routing.apply({ index: version, version, table, closedZones: [] });
      const route = routes.find(({ name }) => name === 'split')!;
      for (let call = 0; call < callsPerVersion; call += 1) {
        chosen.push(routing.nextService(route)!.name);
      }
    }
  }
  return chosen;
}

describe('SplitChooser', () => {
  // Guards against calls at a withdrawn service right after a start or a change of the routing.
  it('never chooses a part of weight 0 of three, whatever the start', () => {
    const random = createRandom(7);
    for (let start = 0; start < 500; start += 1) {
      const chooser = new SplitChooser(random);
      const chosen = Array.from({ length: 10 }, () => chooser.next(createSplit([50, 50, 0])));
      expect(chosen).not.toContain('s2');
    }
  });

  // Guards against calls at a withdrawn service after each later change of another setting.
  it('gives a withdrawn part no call while the timeout of the route changes again and again', () => {
    const chosen = chooseAcrossChanges({
      versions: 100,
      callsPerVersion: 4,
      routesOf: (version) => [createSplit([50, 50, 0], { timeoutMs: 1_000 + version })],
    });
    expect(countServices(chosen).get('s2')).toBeUndefined();
  });

  const tables: Record<string, (version: number) => readonly Route[]> = {
    'the route itself': (version) => [createSplit([98, 1, 1], { timeoutMs: 1_000 + version })],
    'another route only': (version) => [
      createSplit([98, 1, 1]),
      createRoute('other', { timeoutMs: 1_000 + version }),
    ],
    'the weights, by little': (version) => [createSplit([98, 1, 1 + (version % 2) / 100])],
  };
  Object.entries(tables).forEach(([changed, routesOf]) => {
    // Guards against shares that start afresh with each change: small parts then get too few calls.
    it(`keeps the shares of small parts where changes come within a cycle: ${changed}`, () => {
      const chosen = chooseAcrossChanges({ versions: 300, callsPerVersion: 5, routesOf });
      const counts = countServices(chosen);
      ['s1', 's2'].forEach((service) => {
        const share = (counts.get(service) ?? 0) / chosen.length;
        expect(share).toBeGreaterThan(0.009);
        expect(share).toBeLessThan(0.011);
      });
    });
  });

  // Guards against gateways that start together and send all of their first calls to one part.
  it('keeps the shares of the first call at gateways that start in the same second', () => {
    const chosen = Array.from({ length: 1_000 }, (unused, index) =>
      new SplitChooser(createProcessRandom(`entry-${index}`, STARTED_AT_MS + index)).next(
        createSplit([80, 20]),
      ),
    );
    const share = (countServices(chosen).get('s1') ?? 0) / chosen.length;
    expect(share).toBeGreaterThan(0.15);
    expect(share).toBeLessThan(0.25);
  });

  // Guards against starts at random that favour large parts in the first calls of each gateway.
  it('keeps the shares over gateways that restart after a few calls each', () => {
    const random = createRandom(7);
    const chosen = Array.from({ length: 4_000 }, () => {
      const chooser = new SplitChooser(random);
      return Array.from({ length: 3 }, () => chooser.next(createSplit([98, 1, 1])));
    }).flat();
    const counts = countServices(chosen);
    ['s1', 's2'].forEach((service) => {
      const share = (counts.get(service) ?? 0) / chosen.length;
      expect(share).toBeGreaterThan(0.007);
      expect(share).toBeLessThan(0.013);
    });
  });

  it('stays within two calls of the shares at one gateway', () => {
    const chooser = new SplitChooser(createRandom(3));
    const weights = [60, 30, 10];
    const chosen = Array.from({ length: 2_000 }, () => chooser.next(createSplit(weights)));
    for (let calls = 1; calls <= chosen.length; calls += 1) {
      const counts = countServices(chosen.slice(0, calls));
      weights.forEach((weight, index) => {
        const count = counts.get(`s${index}`) ?? 0;
        expect(Math.abs(count - (calls * weight) / 100)).toBeLessThan(2);
      });
    }
  });

  it('sends all calls to the first part if no part has a weight', () => {
    const chooser = new SplitChooser(createRandom(1));
    expect(chooser.next(createSplit([0, 0]))).toBe('s0');
  });

  it('forgets routes that are gone', () => {
    const chooser = new SplitChooser(createRandom(1));
    chooser.next(createSplit([50, 50]));
    expect(chooser.size).toBe(1);
    chooser.retain([createRoute('other')]);
    expect(chooser.size).toBe(0);
  });
});
