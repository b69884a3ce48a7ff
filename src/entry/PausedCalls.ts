import { CallPhase, type CallRecord } from './dispatch/CallRecord.js';

/** Pause of a call that found no backend server; doubles with each attempt after the first. */
const FIRST_PAUSE_MS = 25;

/** Maximum time for which a call waits for leases that are moving. */
const LEASE_MOVE_WAIT_MS = 1_000;

/** Calls that wait for leases that are moving between entry hosts. */
export class PausedCalls {
  /** Time at which each call is to be routed again. */
  private readonly rerouteAtMs = new Map<CallRecord, number>();

  /** Schedules a call to be routed again; false if it may not wait, or has waited long enough. */
  pause(record: CallRecord, nowMs: number): boolean {
    const { call, pool } = record;
    const mayWait = !call.forwarded && !pool.policy.leaseless && record.claimId === null;
    const retryable = record.answeringId === null && !record.mayHaveRun;
    const untilMs = Math.min(record.deadlineMs, record.arrivedAtMs + LEASE_MOVE_WAIT_MS);
    if (!mayWait || !retryable || nowMs >= untilMs) return false;
    if (this.rerouteAtMs.size >= pool.settings.queueMax) return false;
    const doublings = Math.max(0, record.attemptsMade - 1);
    record.phase = CallPhase.Queued;
    this.rerouteAtMs.set(record, nowMs + FIRST_PAUSE_MS * 2 ** doublings);
    return true;
  }

  delete(record: CallRecord): void {
    this.rerouteAtMs.delete(record);
  }

  /** Removes and returns the calls whose pause is over. */
  takeDue(nowMs: number): CallRecord[] {
    const records: CallRecord[] = [];
    this.rerouteAtMs.forEach((dueMs, record) => {
      if (dueMs > nowMs) return;
      this.rerouteAtMs.delete(record);
      records.push(record);
    });
    return records;
  }
}
