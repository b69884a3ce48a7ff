import { describe, expect, it } from 'vitest';
import { BackendRegistry, RegistryChange } from './BackendRegistry.js';
import { BackendState, DEPARTURE_SEQUENCE, type BackendRecord } from './Types.js';

function createRecord(changes: Partial<BackendRecord> = {}): BackendRecord {
  return {
    id: 'b-1',
    service: 'alpha',
    address: '10.0.0.1',
    port: 80,
    availabilityZone: 'perth',
    slots: 3,
    state: BackendState.Ready,
    bornMs: 100,
    sequence: 1,
    coldLeftMs: 0,
    ...changes,
  };
}

describe('BackendRegistry', () => {
  it('accepts only later announcements of one incarnation', () => {
    const registry = new BackendRegistry();
    expect(registry.merge(createRecord({ sequence: 5 }), 0)).toBe(RegistryChange.Changed);
    expect(registry.merge(createRecord({ sequence: 6 }), 1)).toBe(RegistryChange.Renewed);
    expect(registry.merge(createRecord({ sequence: 4 }), 2)).toBe(RegistryChange.Stale);
    const draining = createRecord({ sequence: 7, state: BackendState.Draining });
    expect(registry.merge(draining, 3)).toBe(RegistryChange.Changed);
  });

  it('accepts a later incarnation of the same id although its sequence starts over', () => {
    const registry = new BackendRegistry();
    registry.merge(createRecord({ sequence: 90 }), 0);
    expect(registry.merge(createRecord({ bornMs: 200, sequence: 1 }), 1)).toBe(
      RegistryChange.Changed,
    );
    expect(registry.merge(createRecord({ sequence: 91 }), 2)).toBe(RegistryChange.Stale);
    expect(registry.get('b-1')?.bornMs).toBe(200);
  });

  it('ignores a late announcement after a departure', () => {
    const registry = new BackendRegistry();
    registry.merge(createRecord({ sequence: 3 }), 0);
    const gone = registry.createDepartureRecord('b-1', 100)!;
    expect(gone).toMatchObject({ state: BackendState.Gone, sequence: DEPARTURE_SEQUENCE });
    registry.merge(gone, 1);
    expect(registry.merge(createRecord({ sequence: 4 }), 2)).toBe(RegistryChange.Stale);
  });

  it('ignores the departure of a past incarnation or an unknown id', () => {
    const registry = new BackendRegistry();
    registry.merge(createRecord({ bornMs: 200 }), 0);
    expect(registry.createDepartureRecord('b-1', 100)).toBeUndefined();
    expect(registry.createDepartureRecord('b-2', undefined)).toBeUndefined();
  });

  it('reports a change when a backend server becomes cold again', () => {
    const registry = new BackendRegistry();
    registry.merge(createRecord({ sequence: 1, coldLeftMs: 2_000 }), 0);
    const warming = createRecord({ sequence: 2, coldLeftMs: 600 });
    expect(registry.merge(warming, 1_400)).toBe(RegistryChange.Renewed);
    const coldAgain = createRecord({ sequence: 3, coldLeftMs: 3_000 });
    expect(registry.merge(coldAgain, 2_800)).toBe(RegistryChange.Changed);
  });

  it('removes records without an announcement within the expiry time', () => {
    const registry = new BackendRegistry({ expiryMs: 1_000 });
    registry.merge(createRecord(), 0);
    expect(registry.expire(1_000)).toEqual([]);
    expect(registry.expire(1_001)).toEqual(['b-1']);
    expect(registry.size).toBe(0);
  });
});
