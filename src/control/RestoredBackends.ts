import type { BackendRecord } from '../common/backends/Types.js';

/** Backend servers announce themselves again within this time of a start, if they live. */
const VALID_MS = 1_500;

/**
 * Older records aren't used. Living hosts remember departures for 15 s, so that they always know
 * better than what another one restores.
 */
const AGE_MAX_MS = 8_000;

/** True where records that were saved then may be restored now; a clock set back tells no age. */
export function isRestorable(savedAtMs: number, wallMs: number): boolean {
  return Math.abs(wallMs - savedAtMs) <= AGE_MAX_MS;
}

/**
 * Backend servers as they were known shortly before this process started. They are handed to entry
 * hosts as provisional and never merged with announcements or relayed: a later word always wins.
 */
export class RestoredBackends {
  private readonly records = new Map<string, BackendRecord>();

  private untilMs = 0;

  load(records: readonly BackendRecord[], nowMs: number): void {
    records.forEach((record) => this.records.set(record.id, record));
    this.untilMs = nowMs + VALID_MS;
  }

  /** Records that nothing newer has replaced; empty after their time. */
  current(nowMs: number): BackendRecord[] {
    if (nowMs >= this.untilMs) this.records.clear();
    return [...this.records.values()];
  }

  /** Removes a record of which there is word now. */
  take(id: string): BackendRecord | undefined {
    const record = this.records.get(id);
    this.records.delete(id);
    return record;
  }
}
