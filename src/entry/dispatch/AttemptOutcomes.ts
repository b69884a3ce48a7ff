import { MAX_ATTEMPTS } from '../../common/Constants.js';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { ClaimOutcome } from '../../common/Messages.js';
import type { EntryContext } from '../EntryContext.js';
import { AttemptResult, CounterName, EntryEffectType, type AttemptEndedEvent } from '../Types.js';
import type { BackendRecord } from './BackendRecord.js';
import { CallPhase, type Attempt, type CallRecord } from './CallRecord.js';

/** Next action for a call after one of its attempts has ended. */
export interface NextStep {
  /** The caller has received the whole answer. */
  readonly finished?: boolean;
  /** The answer has begun and can't be completed. */
  readonly aborted?: boolean;
  readonly retry?: boolean;
  readonly error?: EgretError;
  /** Result to be recorded for the claim. */
  readonly settle?: ClaimOutcome;
}

/** Dependencies of {@link AttemptOutcomes}. */
export interface AttemptOutcomesOptions {
  readonly context: EntryContext;
  readonly onSuspicion: (call: CallRecord, attempt: Attempt, confirmed: boolean) => void;
}

const SERVER_ERROR_STATUS = 500;

/** Two failures within this time are treated as a cold start of the backend server. */
const COLD_START_WINDOW_MS = 500;

/** Multiple of the server's latency estimate that indicates a cold start after a failure. */
const COLD_LATENCY_RATIO = 4;

type Handler = (record: CallRecord, attempt: Attempt, event: AttemptEndedEvent) => NextStep;

/** Error for the caller if no retry is possible. */
export function finalError(record: CallRecord, event: AttemptEndedEvent): EgretError {
  if (record.mayHaveRun) {
    const detail = 'The connection ended before an answer; the request may have run.';
    return new EgretError(ErrorKind.OutcomeUnknown, detail);
  }
  if (event.peerRefusal) return event.peerRefusal;
  const detail = 'Every attempted backend server refused or was unreachable.';
  return new EgretError(ErrorKind.NoBackend, detail);
}

/** True if a peer refused the call because it has no usable backend server, or is stopping. */
export function isUnservedAtPeer({ peerRefusal, peerStatus }: AttemptEndedEvent): boolean {
  if (peerRefusal?.kind === ErrorKind.Stopping) return true;
  return peerRefusal?.kind === ErrorKind.NoBackend && peerStatus?.slots === 0;
}

/** Updates the backend statistics when an attempt ends and decides the call's next step. */
export class AttemptOutcomes {
  constructor(private readonly options: AttemptOutcomesOptions) {}

  /** Handles one ended attempt by its result. */
  decide(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    return this.handlers[event.result](record, attempt, event);
  }

  private readonly handlers: Record<AttemptResult, Handler> = {
    [AttemptResult.Completed]: (record, attempt, event) => this.onCompleted(record, attempt, event),
    [AttemptResult.Shed]: (record, attempt, event) => {
      if (attempt.record) this.recordServerFailure(record, attempt.record);
      return this.retryNotRun(record, attempt, event);
    },
    [AttemptResult.NotSent]: (record, attempt, event) => {
      this.recordUnreachable(record, attempt);
      return this.retryNotRun(record, attempt, event);
    },
    [AttemptResult.Reset]: (record, attempt, event) => this.onReset(record, attempt, event),
    [AttemptResult.Truncated]: (record, attempt, event) => this.onTruncated(record, attempt, event),
    [AttemptResult.Cancelled]: (record) =>
      record.claimId === null ? {} : { settle: ClaimOutcome.Unknown },
  };

  private onCompleted(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    const { nowMs } = this.options.context;
    const backend = attempt.record;
    if (backend) {
      const failed = event.statusCode >= SERVER_ERROR_STATUS;
      backend.recordFailure(failed, nowMs);
      record.pool.recordFailure(failed);
      if (!failed) this.recordSuccess(record, attempt, backend);
    }
    return { finished: true, settle: ClaimOutcome.Answered };
  }

  private recordSuccess(record: CallRecord, attempt: Attempt, backend: BackendRecord): void {
    const { nowMs } = this.options.context;
    const latencyMs = nowMs - attempt.startedAtMs;
    const { pool } = record;
    const jumped = backend.latencyMs > 0 && latencyMs > backend.latencyMs * COLD_LATENCY_RATIO;
    if (jumped && nowMs - backend.failedAtMs < COLD_START_WINDOW_MS) backend.limit.onColdStart();
    else backend.limit.onSuccess();
    backend.recordLatency(latencyMs, pool.latency.medianMs, nowMs);
    pool.latency.record(latencyMs);
    if (attempt.suspect) pool.quarantine.clear(record.call.fingerprint);
  }

  /** Lowers the limit on a shed answer or broken connection; a quick second one is a cold start. */
  private recordServerFailure(record: CallRecord, backend: BackendRecord): void {
    const { nowMs } = this.options.context;
    const repeated = nowMs - backend.failedAtMs < COLD_START_WINDOW_MS;
    backend.recordFailure(true, nowMs);
    record.pool.recordFailure(true);
    if (repeated) backend.limit.onColdStart();
    else backend.limit.onOverload();
  }

  private recordUnreachable(record: CallRecord, attempt: Attempt): void {
    const { context } = this.options;
    const backend = attempt.record;
    if (!backend) return;
    backend.limit.onColdStart();
    backend.backOff(context.nowMs);
    backend.failedAtMs = context.nowMs;
    context.emit({ type: EntryEffectType.CloseTarget, targetId: backend.id });
    this.options.onSuspicion(record, attempt, true);
  }

  /** Retries elsewhere within the retry budget: the request did not run. */
  private retryNotRun(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    if (record.attempts.size > 0 || record.phase === CallPhase.Answered) {
      return record.phase === CallPhase.Answered ? { settle: ClaimOutcome.NotRun } : {};
    }
    if (isUnservedAtPeer(event)) {
      // The attempt put no load on a backend server, so neither limit on attempts applies.
      record.attemptsMade -= 1;
      if (this.isRetryable(record)) return { retry: true };
    } else if (this.mayRetry(record)) return { retry: true };
    return {
      error: finalError(record, event),
      settle: record.mayHaveRun ? ClaimOutcome.Unknown : ClaimOutcome.NotRun,
    };
  }

  private onReset(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    if (attempt.record) {
      this.recordServerFailure(record, attempt.record);
      this.options.onSuspicion(record, attempt, false);
    }
    if (attempt.cancelled) return { settle: ClaimOutcome.Unknown };
    record.mayHaveRun = true;
    if (record.attempts.size > 0 || record.phase === CallPhase.Answered) {
      return { settle: ClaimOutcome.Unknown };
    }
    if (record.idempotent && this.mayRetry(record)) return { retry: true };
    return { error: finalError(record, event), settle: ClaimOutcome.Unknown };
  }

  private onTruncated(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    const { context } = this.options;
    if (attempt.record) this.recordServerFailure(record, attempt.record);
    if (attempt.cancelled || record.phase === CallPhase.Answered) {
      return { settle: ClaimOutcome.Unknown };
    }
    const resumable = event.resume !== null && record.idempotent;
    if (resumable && this.mayRetry(record)) {
      context.count(CounterName.Resumes, record.call.service);
      return { retry: true };
    }
    return { aborted: true, settle: ClaimOutcome.Unknown };
  }

  private mayRetry(record: CallRecord): boolean {
    const { nowMs } = this.options.context;
    return (
      record.attemptsMade < MAX_ATTEMPTS &&
      this.isRetryable(record) &&
      record.pool.retryBudget.tryTake(nowMs)
    );
  }

  /** True if the call can be sent again before its deadline. */
  private isRetryable(record: CallRecord): boolean {
    const { nowMs } = this.options.context;
    return record.call.replayable && (nowMs < record.deadlineMs || record.answeringId !== null);
  }
}
