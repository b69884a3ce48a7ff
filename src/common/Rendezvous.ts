import murmur from 'imurmurhash';

/**
 * Weight of a node for a key (highest random weight hashing, Thaler and Ravishankar 1998).
 *
 * @example
 * rendezvousWeight('ledger', 'entry-1'); // unsigned 32-bit number
 */
export function rendezvousWeight(key: string, nodeId: string): number {
  return murmur(key).hash('\u0000').hash(nodeId).result();
}

/** Item that rendezvous hashing ranks. */
export interface RendezvousNode {
  readonly id: string;
}

/**
 * Ranks nodes for a key, highest weight first; equal weights are ordered by id.
 *
 * @example
 * rankByRendezvous('ledger', [{ id: 'a' }, { id: 'b' }]).length; // 2
 */
export function rankByRendezvous<T extends RendezvousNode>(key: string, nodes: readonly T[]): T[] {
  const weighted = nodes.map((node) => ({ node, weight: rendezvousWeight(key, node.id) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.node.id < b.node.id ? -1 : 1));
  return weighted.map((item) => item.node);
}
