import { describe, expect, it } from 'vitest';
import { DisturbanceKind } from '../Types.js';
import { findOldRouting, reasonOutOfTouch } from './RoutingChecks.js';
import { LinkDisturbanceKind, ProbeKind, type RoutingRecord } from './Types.js';

/** Record of three core machines and two versions, the second one confirmed at 1,000 ms. */
function createRecord(changes: Partial<RoutingRecord> = {}): RoutingRecord {
  const version = (number: number, service: string, confirmedMs: number) => ({
    version: number,
    service,
    sentMs: confirmedMs - 100,
    confirmedMs,
    confirmedBy: 'edge-1',
  });
  return {
    coreNames: ['edge-1', 'edge-2', 'edge-3'],
    versions: [version(1, 's1', 200), version(2, 's2', 1_000)],
    probes: [],
    runs: [],
    disturbances: [],
    linkDisturbances: [],
    ...changes,
  };
}

const probe = (id: string, sentMs: number, kind = ProbeKind.Moved, status = 200) => ({
  id,
  machine: 'edge-4',
  kind,
  version: 2,
  sentMs,
  status,
});

const run = (id: string, service: string, atMs: number) => ({
  id,
  backend: `${service}-0`,
  atMs,
  sound: true,
});

const cut = (machine: string, core: string, fromMs: number, toMs: number) => ({
  kind: LinkDisturbanceKind.Cut,
  machine,
  core,
  fromMs,
  toMs,
});

describe('findOldRouting', () => {
  it('finds a run by the old service and a refused route, 2 s after the confirmation', () => {
    const record = createRecord({
      probes: [
        probe('in-time', 2_900),
        probe('late', 3_100),
        probe('refused', 3_200, ProbeKind.Added, 404),
        probe('new', 3_300),
      ],
      runs: [run('in-time', 's1', 2_910), run('late', 's1', 3_110), run('new', 's2', 3_310)],
    });
    const found = findOldRouting(record).map(({ rule, probe: { id }, excuse }) => [
      rule,
      id,
      excuse,
    ]);
    expect(found).toEqual([
      ['late', 'late', undefined],
      ['late', 'refused', undefined],
    ]);
  });

  it('finds a machine that returns to an older version, but not after its restart', () => {
    const probes = [
      probe('shown', 1_100, ProbeKind.Added),
      probe('back', 1_500),
      probe('restarted', 2_900),
    ];
    const runs = [
      run('shown', 's0', 1_110),
      run('back', 's1', 1_510),
      run('restarted', 's1', 2_910),
    ];
    const kill = { machine: 'edge-4', kind: DisturbanceKind.Kill, fromMs: 2_000, toMs: 2_500 };
    const found = findOldRouting(createRecord({ probes, runs, disturbances: [kill] }));
    expect(found.map(({ rule, probe: { id } }) => [rule, id])).toEqual([['regressed', 'back']]);
  });
});

describe('reasonOutOfTouch', () => {
  it('counts a machine as in touch 3 s after a core machine was cut from the others', () => {
    const pairs = [cut('edge-1', 'edge-2', 5_000, 20_000), cut('edge-1', 'edge-3', 5_000, 20_000)];
    const record = createRecord({ linkDisturbances: pairs });
    expect(reasonOutOfTouch(record, 'edge-4', 7_900)).toBe('links of the core changed');
    expect(reasonOutOfTouch(record, 'edge-4', 8_100)).toBeUndefined();
    expect(reasonOutOfTouch(record, 'edge-1', 8_100)).toBe('cut of its links');
    expect(reasonOutOfTouch(record, 'edge-4', 21_000)).toBe('links of the core changed');
  });

  it('does not count one that was disturbed, or that lacks a path to the connected core', () => {
    const pause = { machine: 'edge-4', kind: DisturbanceKind.Pause, fromMs: 1_000, toMs: 2_000 };
    const record = createRecord({
      disturbances: [pause],
      linkDisturbances: [cut('edge-5', 'edge-2', 1_000, 30_000)],
    });
    expect(reasonOutOfTouch(record, 'edge-4', 4_900)).toBe('pause of the machine');
    expect(reasonOutOfTouch(record, 'edge-4', 5_100)).toBeUndefined();
    expect(reasonOutOfTouch(record, 'edge-5', 20_000)).toBe('cut of its links');
  });
});
