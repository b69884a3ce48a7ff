import type { BackendRecord } from '../common/backends/Types.js';

/** Live backend servers announce themselves again within this time after a start. */
const VALID_MS = 1_500;

/**
 * Maximum age of restored records. Running hosts keep departures for 15 s, so that their records
 * are always newer than those that another host restores.
 */
const MAX_AGE_MS = 8_000;

/** True if records saved at `savedAtMs` are recent; false also if the clock was set far back. */
export function isRestorable(savedAtMs: number, wallMs: number): boolean {
  return Math.abs(wallMs - savedAtMs) <= MAX_AGE_MS;
}

/**
 * Backend servers registered shortly before this process started. They are sent to entry hosts as
 * provisional and never merged with announcements or relayed: any later announcement replaces them.
 */
export class RestoredBackends {
  private readonly records = new Map<string, BackendRecord>();

  private validUntilMs = 0;

  load(records: readonly BackendRecord[], nowMs: number): void {
    records.forEach((record) => this.records.set(record.id, record));
    this.validUntilMs = nowMs + VALID_MS;
  }

  /** Records not yet replaced or removed; empty once {@link VALID_MS} is over. */
  current(nowMs: number): BackendRecord[] {
    if (nowMs >= this.validUntilMs) this.records.clear();
    return [...this.records.values()];
  }

  /** Removes and returns a record that an announcement or a departure replaces. */
  remove(id: string): BackendRecord | undefined {
    const record = this.records.get(id);
    this.records.delete(id);
    return record;
  }
}
