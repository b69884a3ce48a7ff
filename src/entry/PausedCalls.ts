import { CallPhase, type CallRecord } from './dispatch/CallRecord.js';

/** First pause of a call that found no backend server; doubles each time. */
const FIRST_PAUSE_MS = 25;

/** Time for which a call waits for leases that are moving. */
const LEASE_MOVE_WAIT_MS = 1_000;

/** Calls that wait for leases that are moving between entry hosts. */
export class PausedCalls {
  /** Times of the next tries. */
  private readonly due = new Map<CallRecord, number>();

  /** Lets a call try again shortly; false if it may not wait, or has waited long enough. */
  pause(record: CallRecord, nowMs: number): boolean {
    const { call, pool } = record;
    const mayWait = !call.forwarded && !pool.policy.free && record.claimId === null;
    const fresh = record.answeringId === null && !record.maybeRun;
    const untilMs = Math.min(record.deadlineMs, record.arrivedAtMs + LEASE_MOVE_WAIT_MS);
    if (!mayWait || !fresh || nowMs >= untilMs) return false;
    if (this.due.size >= pool.settings.queueMax) return false;
    const pauses = Math.max(0, record.attemptsMade - 1);
    record.phase = CallPhase.Queued;
    this.due.set(record, nowMs + FIRST_PAUSE_MS * 2 ** pauses);
    return true;
  }

  delete(record: CallRecord): void {
    this.due.delete(record);
  }

  /** Removes and returns the calls whose pause is over. */
  takeDue(nowMs: number): CallRecord[] {
    const records: CallRecord[] = [];
    this.due.forEach((dueMs, record) => {
      if (dueMs > nowMs) return;
      this.due.delete(record);
      records.push(record);
    });
    return records;
  }
}
