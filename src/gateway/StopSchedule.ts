/** Caller's retry delay of a call that is refused in a planned stop: other hosts take it at once. */
export const RETRY_AFTER_STOPPING_MS = 15;

/** Options of a {@link StopSchedule}. */
export interface StopScheduleOptions {
  readonly startedAtMs: number;
  /** Longest time from the stop signal to the end of the process. */
  readonly stopMs: number;
}

/** Call that is about to be sent to a backend server. */
export interface PendingCall {
  /** Time until the end of the call's limit: that of its caller or route, whichever is earlier. */
  readonly limitMs: number;
  /** False if its caller can't repeat it unless it is told that the call has not run. */
  readonly isRepeatable: boolean;
}

/**
 * Share of the stop time in which repeatable calls are sent whatever their limit: their callers can't
 * know of the stop yet. At a stop time of 6 s it is the interval of the readiness checks, 1 s.
 */
const NOTICE_SHARE = 1 / 6;

/** Share of the stop time during which callers that still have the address are accepted. */
const LINGER_SHARE = 0.45;

/** Share of the stop time after which calls in progress are no longer awaited. */
const FINISH_SHARE = 0.93;

/** Share of the stop time after which answers are no longer awaited by their callers' connections. */
const FLUSH_SHARE = 0.97;

/**
 * Phases of a planned stop, and which calls may still be sent in them. A call is sent only if its
 * time limit ends before the stop does, so that the host never has to end it in place of the backend
 * server.
 *
 * @example
 * const schedule = new StopSchedule({ startedAtMs: 0, stopMs: 6_000 });
 * schedule.mayFinish(2_000, 3_000); // true
 * schedule.mayFinish(2_700, 3_000); // false: 5,700 ms is later than 93 % of the stop time
 */
export class StopSchedule {
  /** End of the time in which the limits of repeatable calls are ignored. */
  readonly noticeUntilMs: number;

  /** End of the time in which new connections are accepted and idle ones stay open. */
  readonly lingerUntilMs: number;

  /** Time at which the host answers the calls that no backend server has answered. */
  readonly finishAtMs: number;

  /** Time at which connections are closed although answers are still being sent. */
  readonly flushUntilMs: number;

  constructor({ startedAtMs, stopMs }: StopScheduleOptions) {
    this.noticeUntilMs = startedAtMs + stopMs * NOTICE_SHARE;
    this.lingerUntilMs = startedAtMs + stopMs * LINGER_SHARE;
    this.finishAtMs = startedAtMs + stopMs * FINISH_SHARE;
    this.flushUntilMs = startedAtMs + stopMs * FLUSH_SHARE;
  }

  /** True if a call with this time left ends before calls in progress are no longer awaited. */
  mayFinish(nowMs: number, limitMs: number): boolean {
    return nowMs + limitMs <= this.finishAtMs;
  }

  /**
   * True if a call may be sent to a backend server. Once false, it stays false for a call, whose
   * limit ends at a fixed time.
   *
   * @example
   * schedule.maySend(nowMs, { limitMs: 3_000, isRepeatable: false });
   */
  maySend(nowMs: number, { limitMs, isRepeatable }: PendingCall): boolean {
    if (limitMs <= 0) return false;
    return this.mayFinish(nowMs, limitMs) || (isRepeatable && nowMs < this.noticeUntilMs);
  }
}
