import type { BackendRecord } from '../common/backends/Types.js';
import {
  ControlMessageType,
  type BackendRenewalsMessage,
  type BackendsMessage,
} from '../common/Messages.js';

/** Changes that are sent together. */
export interface RegistryBatch {
  readonly batchId: number;
  /** Message to entry hosts; undefined if nothing is sent to them. */
  readonly push: BackendsMessage | undefined;
  /** Records for the other control hosts. */
  readonly relay: readonly BackendRecord[];
}

/**
 * Shortest time between two batches. A start of all hosts brings hundreds of announcements a second,
 * each for every entry host; a single change is sent at once.
 */
const BATCH_INTERVAL_MS = 50;

/** Time between two messages with the renewals of this host; a third of the expiry at the most. */
const RENEWAL_INTERVAL_MS = 3_000;

/** Collects the changes of the registry into batches, and renewals into one message an interval. */
export class RegistryBatches {
  private nextBatchId = 1;

  /** Id of the batch that collects changes now, once it was asked for. */
  private openBatchId: number | undefined;

  private flushedAtMs = Number.NEGATIVE_INFINITY;

  /** Newest records for entry hosts, by id. */
  private readonly pushed = new Map<string, BackendRecord>();

  private readonly expired = new Set<string>();

  /** Newest records for other control hosts, by id. */
  private readonly relayed = new Map<string, BackendRecord>();

  /** True if the batch has a departure, which entry hosts acknowledge. */
  private needsAck = false;

  private readonly renewed = new Map<string, BackendRecord>();

  private renewedAtMs = 0;

  /** Id of the batch that contains what is added now. */
  get batchId(): number {
    this.openBatchId ??= this.createId();
    return this.openBatchId;
  }

  /** Creates the id of a message that is acknowledged but not collected here. */
  createId(): number {
    const id = this.nextBatchId;
    this.nextBatchId += 1;
    return id;
  }

  /** Adds records for entry hosts; departures are acknowledged by them. */
  addPush(records: readonly BackendRecord[], hasDeparture: boolean): void {
    records.forEach((record) => {
      this.expired.delete(record.id);
      this.pushed.set(record.id, record);
    });
    this.needsAck ||= hasDeparture;
  }

  addRelay(records: readonly BackendRecord[]): void {
    records.forEach((record) => {
      this.renewed.delete(record.id);
      this.relayed.set(record.id, record);
    });
  }

  addExpired(ids: readonly string[]): void {
    ids.forEach((id) => {
      this.pushed.delete(id);
      this.renewed.delete(id);
      this.expired.add(id);
    });
  }

  /** Adds an announcement that changed nothing. */
  addRenewal(record: BackendRecord): void {
    this.renewed.set(record.id, record);
  }

  /** Takes the batch if it has content and is due. */
  take(nowMs: number): RegistryBatch | undefined {
    const hasPush = this.pushed.size > 0 || this.expired.size > 0;
    if (!hasPush && this.relayed.size === 0) return undefined;
    if (nowMs - this.flushedAtMs < BATCH_INTERVAL_MS) return undefined;
    this.flushedAtMs = nowMs;
    const { batchId } = this;
    this.openBatchId = undefined;
    const push: BackendsMessage | undefined = hasPush
      ? {
          type: ControlMessageType.Backends,
          batchId: this.needsAck ? batchId : 0,
          records: [...this.pushed.values()],
          expiredIds: [...this.expired],
        }
      : undefined;
    const relay = [...this.relayed.values()];
    this.pushed.clear();
    this.expired.clear();
    this.relayed.clear();
    this.needsAck = false;
    return { batchId, push, relay };
  }

  /** Takes the renewals of the last interval once it has passed. */
  takeRenewals(from: string, nowMs: number): BackendRenewalsMessage | undefined {
    if (nowMs - this.renewedAtMs < RENEWAL_INTERVAL_MS) return undefined;
    this.renewedAtMs = nowMs;
    if (this.renewed.size === 0) return undefined;
    const records = [...this.renewed.values()];
    this.renewed.clear();
    return {
      type: ControlMessageType.BackendRenewals,
      from,
      ids: records.map(({ id }) => id),
      bornMs: records.map(({ bornMs }) => bornMs),
      sequences: records.map(({ sequence }) => sequence),
    };
  }
}
