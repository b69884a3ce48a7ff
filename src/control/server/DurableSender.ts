import type { Storage } from '../storage/Types.js';
import type { PersistEffect, RaftMessage, Snapshot } from '../raft/Types.js';
import type { RaftState } from '../raft/RaftState.js';

/** Options of a {@link DurableSender}. */
export interface DurableSenderOptions {
  readonly storage: Storage;
  readonly send: (to: string, message: RaftMessage) => void;
  readonly onPersisted: (index: number, generation: number) => void;
  readonly onSnapshotSaved: (snapshot: Snapshot, received: boolean) => void;
  /** Called when a write fails permanently; the process ends, as the durable state is unknown. */
  readonly onFailed: (error: unknown) => void;
}

/** Sends messages once the writes that they acknowledge are durable. */
export class DurableSender {
  /** Writes that are not yet durable. */
  private outstanding = 0;

  /** Settles after all writes queued so far. */
  private barrier: Promise<void> = Promise.resolve();

  constructor(private readonly options: DurableSenderOptions) {}

  /** Queues a write; its completion is reported with the index of its last entry. */
  persist(write: PersistEffect): void {
    this.outstanding += 1;
    this.barrier = this.options.storage.persist(write).then(() => {
      this.outstanding -= 1;
      const last = write.entries.at(-1);
      if (last) this.options.onPersisted(last.index, write.generation);
    });
    this.barrier.catch((error: unknown) => this.options.onFailed(error));
  }

  /** Sends an early message at once, any other one once all earlier writes are durable. */
  send(to: string, message: RaftMessage, early: boolean): void {
    if (early || this.outstanding === 0) {
      this.options.send(to, message);
      return;
    }
    this.barrier.then(
      () => this.options.send(to, message),
      () => {},
    );
  }

  /** Saves a snapshot together with the log that follows it. */
  saveSnapshot(snapshot: Snapshot, received: boolean, state: RaftState): void {
    const readTail = () => ({
      hardState: { term: state.term, votedFor: state.votedFor },
      // A received snapshot replaces a log that is shorter or conflicts with it.
      entries:
        state.log.termAt(snapshot.index) === snapshot.term
          ? state.log.slice(snapshot.index + 1, Number.MAX_SAFE_INTEGER)
          : [],
    });
    this.options.storage.saveSnapshot(snapshot, readTail).then(
      () => this.options.onSnapshotSaved(snapshot, received),
      (error: unknown) => this.options.onFailed(error),
    );
  }
}
