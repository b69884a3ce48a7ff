import type { Disposable } from '../../common/Disposable.js';
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
  /** Called when a write fails after the sender was disposed: nothing has acknowledged it. */
  readonly onAbandoned: (error: unknown) => void;
}

/**
 * Sends messages once the writes that they acknowledge are durable. A disposed sender writes, sends
 * and reports nothing; writes queued before are completed.
 */
export class DurableSender implements Disposable {
  /** Writes that are not yet durable. */
  private outstanding = 0;

  /** Settles after all writes queued so far. */
  private barrier: Promise<void> = Promise.resolve();

  private disposed = false;

  constructor(private readonly options: DurableSenderOptions) {}

  dispose(): void {
    this.disposed = true;
  }

  /** Queues a write; its completion is reported with the index of its last entry. */
  persist(write: PersistEffect): void {
    if (this.disposed) return;
    this.outstanding += 1;
    this.barrier = this.options.storage.persist(write).then(() => {
      this.outstanding -= 1;
      const last = write.entries.at(-1);
      if (last && !this.disposed) this.options.onPersisted(last.index, write.generation);
    });
    this.barrier.catch((error: unknown) => this.reportFailure(error));
  }

  /** Sends an early message at once, any other one once all earlier writes are durable. */
  send(to: string, message: RaftMessage, early: boolean): void {
    if (this.disposed) return;
    if (early || this.outstanding === 0) {
      this.options.send(to, message);
      return;
    }
    this.barrier.then(
      () => {
        if (!this.disposed) this.options.send(to, message);
      },
      () => {},
    );
  }

  /** Saves a snapshot together with the log that follows it. */
  saveSnapshot(snapshot: Snapshot, received: boolean, state: RaftState): void {
    if (this.disposed) return;
    const readTail = () => ({
      hardState: { term: state.term, votedFor: state.votedFor },
      // A received snapshot replaces a log that is shorter or conflicts with it.
      entries:
        state.log.termAt(snapshot.index) === snapshot.term
          ? state.log.slice(snapshot.index + 1, Number.MAX_SAFE_INTEGER)
          : [],
    });
    this.options.storage.saveSnapshot(snapshot, readTail).then(
      () => {
        if (!this.disposed) this.options.onSnapshotSaved(snapshot, received);
      },
      (error: unknown) => this.reportFailure(error),
    );
  }

  private reportFailure(error: unknown): void {
    if (this.disposed) this.options.onAbandoned(error);
    else this.options.onFailed(error);
  }
}
