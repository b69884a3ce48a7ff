import { describe, expect, it } from 'vitest';
import { chooseWatchTargets, type WatchLink } from './WatchTargets.js';

/** Responsive links to one control host in each of five availability zones. */
function createLinks(changes: Partial<WatchLink> = {}): WatchLink[] {
  return Array.from({ length: 5 }, (unused, index) => ({
    key: `10.0.${index}.1:7540`,
    availabilityZone: `zone-${index}`,
    isResponsive: true,
    isCurrent: true,
    ...changes,
  }));
}

describe('chooseWatchTargets', () => {
  it('chooses two control hosts, one of them in the own availability zone', () => {
    const targets = chooseWatchTargets({
      selfId: 'edge-1',
      availabilityZone: 'zone-3',
      links: createLinks(),
    });
    expect(targets).toHaveLength(2);
    expect(targets[0]).toBe('10.0.3.1:7540');
  });

  it('gives each control host an even share of hundreds of entry hosts', () => {
    const counts = new Map<string, number>();
    for (let index = 0; index < 300; index += 1) {
      chooseWatchTargets({
        selfId: `edge-${index}`,
        availabilityZone: `zone-${index % 5}`,
        links: createLinks(),
      }).forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
    }
    // 600 watches of five control hosts: 120 each, with the spread of a random choice.
    expect(Math.max(...counts.values())).toBeLessThan(160);
    expect(counts.size).toBe(5);
  });

  it('replaces a control host that stops to respond', () => {
    const links = createLinks().map((link) =>
      link.key === '10.0.3.1:7540' ? { ...link, isResponsive: false } : link,
    );
    const targets = chooseWatchTargets({
      selfId: 'edge-1',
      availabilityZone: 'zone-3',
      links,
    });
    expect(targets).toHaveLength(2);
    expect(targets).not.toContain('10.0.3.1:7540');
  });

  it('keeps to the links that are open while none responds', () => {
    const links = createLinks({ isResponsive: false });
    const options = { selfId: 'edge-1', availabilityZone: 'zone-1', links };
    expect(chooseWatchTargets(options)).toHaveLength(2);
    expect(chooseWatchTargets({ ...options, links: links.slice(0, 1) })).toHaveLength(1);
  });

  // Guards against a gateway that keeps to the control host of its zone while that is cut off.
  it('prefers control hosts whose routing is current, and keeps to others if none is', () => {
    const options = { selfId: 'edge-1', availabilityZone: 'zone-3' };
    const links = createLinks().map((link, index) => ({ ...link, isCurrent: index < 2 }));
    const targets = chooseWatchTargets({ ...options, links });
    expect(targets.sort()).toEqual(['10.0.0.1:7540', '10.0.1.1:7540']);
    const none = chooseWatchTargets({ ...options, links: createLinks({ isCurrent: false }) });
    expect(none[0]).toBe('10.0.3.1:7540');
  });
});
