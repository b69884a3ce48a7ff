import { describe, expect, it } from 'vitest';
import { createRandom } from '../../common/Random.js';
import { RolloutState, type Rollout } from '../../common/rollouts/Types.js';
import { BackendPool } from '../BackendPool.js';
import { createBackend } from '../fixtures.js';
import { VersionChooser } from './VersionChooser.js';
import { VersionHold } from './VersionHold.js';

const ORDERED_MS = 1_000_000;

/** Creates a rollout of service alpha to v2. */
function createRollout(changes: Partial<Rollout> = {}): Rollout {
  return {
    service: 'alpha',
    toVersion: 'v2',
    state: RolloutState.Running,
    share: 0,
    dueAtMs: ORDERED_MS + 12_000,
    orderedAtMs: ORDERED_MS,
    orderIndex: 7,
    shareSinceMs: ORDERED_MS,
    ...changes,
  };
}

/** Pool with one server of each version, and the versions that attempts are sent to. */
function createChoice(rollout: Rollout | null, versions = ['v1', 'v2'], hold?: VersionHold) {
  const pool = new BackendPool({ availabilityZone: 'perth', random: createRandom(3) });
  pool.apply(
    versions.map((version, index) => createBackend(`b-${index}`, { version })),
    0,
  );
  const chooser = new VersionChooser({ random: createRandom(5), hold });
  chooser.setRollouts(rollout ? [rollout] : []);
  const chosen = (isFirst = true, count = 400) => {
    const counts: Record<string, number> = {};
    for (let index = 0; index < count; index += 1) {
      const { filters } = chooser.choose('alpha', isFirst);
      const query = { service: 'alpha', nowMs: 0, tried: new Set<string>(), versions: filters };
      const version = pool.candidates(query).local[0]?.record.version ?? 'none';
      counts[version] = (counts[version] ?? 0) + 1;
    }
    return counts;
  };
  return { chooser, chosen };
}

describe('versions of attempts', () => {
  it('keeps all calls on the old version until the rollout has a share', () => {
    expect(createChoice(createRollout()).chosen()).toEqual({ v1: 400 });
  });

  it('sends about the share to the new version, and no retry or hedge', () => {
    const { chosen } = createChoice(createRollout({ share: 0.1 }));
    const { v2 = 0 } = chosen();
    expect(v2).toBeGreaterThan(20);
    expect(v2).toBeLessThan(70);
    expect(chosen(false)).toEqual({ v1: 400 });
  });

  it('sends nothing to old servers at full share, which may stop without draining', () => {
    const { chosen } = createChoice(createRollout({ share: 1 }));
    expect(chosen()).toEqual({ v2: 400 });
    expect(chosen(false)).toEqual({ v2: 400 });
  });

  it('uses only the new version once completed, and never a rejected one', () => {
    const completed = createRollout({ state: RolloutState.Completed, share: 1 });
    expect(createChoice(completed, ['v1']).chosen()).toEqual({ none: 400 });
    const rejected = createRollout({ state: RolloutState.RolledBack });
    expect(createChoice(rejected, ['v2']).chosen()).toEqual({ none: 400 });
    expect(createChoice(rejected).chosen()).toEqual({ v1: 400 });
  });

  it('falls back to the old version if the new servers are cold or full', () => {
    const { chooser } = createChoice(createRollout({ share: 1 }));
    const { alternative } = chooser.choose('alpha', true);
    expect(alternative?.map((filter) => [filter('v1'), filter('v2')])).toEqual([[true, false]]);
  });

  it('treats all versions alike without a rollout and without a hold', () => {
    expect(Object.keys(createChoice(null).chosen()).sort()).toEqual(['v1', 'v2']);
  });
});

describe('VersionHold', () => {
  const announce = (hold: VersionHold, version: string, bornMs: number) =>
    hold.note([createBackend('b-9', { version, bornMs })]);

  it('keeps a version that appears beside an established one without calls until the order', () => {
    let nowMs = ORDERED_MS;
    const hold = new VersionHold({ nowMs: () => nowMs });
    announce(hold, 'v1', ORDERED_MS - 60_000);
    announce(hold, 'v2', ORDERED_MS - 500);
    expect(createChoice(null, ['v1', 'v2'], hold).chosen()).toEqual({ v1: 400 });
    expect(createChoice(null, ['v2'], hold).chosen()).toEqual({ v2: 400 });
    nowMs += 10_000;
    expect(Object.keys(createChoice(null, ['v1', 'v2'], hold).chosen())).toHaveLength(2);
  });

  it('does not hold the old version when all of its servers restart', () => {
    const hold = new VersionHold({ nowMs: () => ORDERED_MS });
    announce(hold, 'v1', ORDERED_MS - 60_000);
    announce(hold, 'v2', ORDERED_MS - 5_000);
    announce(hold, 'v1', ORDERED_MS - 100);
    expect([...hold.heldVersions('alpha')]).toEqual(['v2']);
  });

  it('holds nothing while two versions without start times are learned together', () => {
    const hold = new VersionHold({ nowMs: () => ORDERED_MS });
    announce(hold, 'v1', 0);
    announce(hold, 'v2', 0);
    expect(hold.heldVersions('alpha').size).toBe(0);
  });
});
