import type { RaftState } from './raft/RaftState.js';

/** Size of the applied log from which a snapshot replaces it. */
export interface SnapshotPolicy {
  readonly entries: number;
  /** Encoded size in bytes; at least the size of the latest snapshot. */
  readonly logBytes: number;
}

/**
 * Number of entries: the log of an installation with small entries, such as claims. Size: 18 changes
 * of a routing with 350 routes, which a host that was stopped applies in less than two seconds.
 */
export const DEFAULT_SNAPSHOT_POLICY: SnapshotPolicy = {
  entries: 20_000,
  logBytes: 2 * 1024 * 1024,
};

/**
 * True if the applied entries should be replaced by a snapshot. A snapshot of a large state is taken
 * after as many bytes of log only, so that snapshots at most double what is written to the disk.
 *
 * @example
 * isSnapshotDue(raft.state, DEFAULT_SNAPSHOT_POLICY); // false for a short log of small entries
 */
export function isSnapshotDue({ log, appliedIndex }: RaftState, policy: SnapshotPolicy): boolean {
  const { index, bytes } = log.snapshot;
  if (appliedIndex - index >= policy.entries) return true;
  const appliedBytes = log.bytesBetween(index, appliedIndex);
  return appliedBytes >= Math.max(policy.logBytes, bytes.length);
}
