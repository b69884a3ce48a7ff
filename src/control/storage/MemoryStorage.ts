import { randomUUID } from 'node:crypto';
import type { Storage } from './Types.js';

/**
 * Storage of a control host without a disk. Such a host is never a voter: nothing that it
 * acknowledges would outlive its process.
 */
export function createMemoryStorage(): Storage {
  return {
    syncs: 0,
    stored: {
      instanceId: randomUUID(),
      hardState: { term: 0, votedFor: null },
      snapshot: null,
      entries: [],
    },
    persist: () => Promise.resolve(),
    saveSnapshot: () => Promise.resolve(),
    close: () => Promise.resolve(),
  };
}
