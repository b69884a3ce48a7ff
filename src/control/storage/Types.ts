import type { HardState, LogEntry, PersistEffect, Snapshot } from '../raft/Types.js';

/** State read from a data folder at the start. */
export interface StoredState {
  readonly instanceId: string;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | null;
  readonly entries: readonly LogEntry[];
}

/** Hard state and log entries that follow a snapshot. */
export interface LogTail {
  readonly hardState: HardState;
  readonly entries: readonly LogEntry[];
}

/** Storage of one control host; durable on hosts with a disk. */
export interface Storage {
  /** State found at the start. */
  readonly stored: StoredState;
  /** Number of syncs so far, exported as a metric. */
  readonly syncs: number;
  /** Queues a write; resolves once it and all earlier ones are synced. */
  persist(write: PersistEffect): Promise<void>;
  /** Saves a snapshot durably and drops the log entries that it covers. */
  saveSnapshot(snapshot: Snapshot, readTail: () => LogTail): Promise<void>;
  /**
   * Waits for the queued writes, then releases the folder. From the first call on, a data folder
   * rejects writes and snapshots with an EgretError of kind storage-closed.
   */
  close(): Promise<void>;
}
