import { describe, expect, it } from 'vitest';
import { BackendState } from '../common/backends/Types.js';
import { createRandom } from '../common/Random.js';
import { BackendPool } from './BackendPool.js';
import { createBackend } from './fixtures.js';

function createPool() {
  return new BackendPool({ availabilityZone: 'perth', random: createRandom(7) });
}

function candidates(pool: BackendPool): string[] {
  const { local, remote } = pool.candidates({ service: 'alpha', nowMs: 0, tried: new Set() });
  return [...local, ...remote].map((view) => view.record.id).sort();
}

describe('backend servers with provisional records, from before a restart of all hosts', () => {
  it('take calls, and are dropped unless they are announced again', () => {
    const pool = createPool();
    expect(pool.applyProvisional([createBackend('b-1'), createBackend('b-2')], 0)).toBe(2);
    expect(candidates(pool)).toEqual(['b-1', 'b-2']);
    // The same record again, now announced by the backend server itself.
    pool.apply([createBackend('b-1')], 100);
    expect(pool.dropProvisional()).toEqual(['b-2']);
    expect(candidates(pool)).toEqual(['b-1']);
  });

  it('never replace announced ones', () => {
    const pool = createPool();
    pool.apply([createBackend('b-1', { state: BackendState.Draining, sequence: 2 })], 0);
    expect(pool.applyProvisional([createBackend('b-1', { sequence: 9 })], 0)).toBe(0);
    expect(candidates(pool)).toEqual([]);
  });

  it('receive no calls once an announcement marks them as draining', () => {
    const pool = createPool();
    pool.applyProvisional([createBackend('b-1', { sequence: 4 })], 0);
    pool.apply([createBackend('b-1', { state: BackendState.Draining, sequence: 5 })], 0);
    expect(candidates(pool)).toEqual([]);
    expect(pool.dropProvisional()).toEqual([]);
  });
});
