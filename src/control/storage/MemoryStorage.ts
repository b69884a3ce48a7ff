import { randomUUID } from 'node:crypto';
import type { Storage } from './Types.js';

/**
 * Storage of a control host without a disk. The host is never a voter, since everything that it
 * acknowledges is lost when its process ends.
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
