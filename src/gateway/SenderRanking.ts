import type { EntryHost } from '../common/Placement.js';
import { rankByRendezvous } from '../common/Rendezvous.js';
import type { BackendView } from './BackendView.js';

/**
 * Ranks the entry hosts that may send to a backend server whose rate all of them share, by rendezvous
 * hashing, those of its availability zone before the others. Hosts with the same list have the same
 * ranking, and each change of the list moves as few as possible.
 *
 * @example
 * rankSenders(view, entryHosts).slice(0, 3).includes(selfId);
 */
export function rankSenders(view: BackendView, entryHosts: readonly EntryHost[]): string[] {
  const ranked = rankByRendezvous(view.record.id, entryHosts);
  const zone = view.record.availabilityZone;
  const sameZone = ranked.filter((host) => host.availabilityZone === zone);
  const otherZones = ranked.filter((host) => host.availabilityZone !== zone);
  return [...sameZone, ...otherZones].map((host) => host.id);
}
