import { describe, expect, it } from 'vitest';
import { placeBackend, placeLeaseholders, type EntryHost } from './Placement.js';

const ZONES = ['north', 'south', 'west'];

function createEntryHosts(count: number): EntryHost[] {
  return Array.from({ length: count }, (unused, index) => ({
    id: `entry-${index}`,
    address: '10.0.0.1',
    port: 1,
    peerPort: 2,
    adminAddress: '10.0.0.1',
    adminPort: 3,
    availabilityZone: ZONES[index % ZONES.length]!,
    stopping: false,
  }));
}

const place = (entryHosts: EntryHost[], availabilityZones = ZONES, leaseholders = 3) =>
  placeLeaseholders({ service: 'ledger', availabilityZones, entryHosts, leaseholders });

describe('placeLeaseholders', () => {
  it('chooses one entry host in each availability zone', () => {
    const zones = place(createEntryHosts(20)).map((entry) => entry.availabilityZone);
    expect(zones.sort()).toEqual([...ZONES].sort());
  });

  it('chooses at least two entry hosts and skips stopping ones', () => {
    const hosts = createEntryHosts(20);
    const first = place(hosts, ['north'], 1);
    expect(first).toHaveLength(2);
    const stopping = hosts.map((host) => ({ ...host, stopping: host.id === first[0]!.id }));
    expect(place(stopping, ['north'], 1).map((host) => host.id)).not.toContain(first[0]!.id);
  });

  it('keeps its choice when an entry host that was not chosen leaves', () => {
    const hosts = createEntryHosts(20);
    const chosen = place(hosts);
    const remaining = hosts.filter((host) => chosen.includes(host) || host.id !== 'entry-3');
    expect(place(remaining)).toEqual(chosen);
  });
});

describe('placeBackend', () => {
  it('prefers the backend server’s own availability zone', () => {
    const leaseholders = place(createEntryHosts(20));
    ZONES.forEach((zone) => {
      expect(placeBackend('10.0.0.9:80', zone, leaseholders)?.availabilityZone).toBe(zone);
    });
    expect(placeBackend('10.0.0.9:80', 'east', leaseholders)).toBeDefined();
    expect(placeBackend('10.0.0.9:80', 'east', [])).toBeUndefined();
  });
});
