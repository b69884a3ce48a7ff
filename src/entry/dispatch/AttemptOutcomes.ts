import { MAX_ATTEMPTS } from '../../common/Constants.js';
import { EgretError, ErrorKind } from '../../common/Errors.js';
import { ClaimOutcome } from '../../common/Messages.js';
import type { EntryContext } from '../EntryContext.js';
import { AttemptResult, CounterName, EntryEffectType, type AttemptEndedEvent } from '../Types.js';
import type { BackendRecord } from './BackendRecord.js';
import { CallPhase, type Attempt, type CallRecord } from './CallRecord.js';

/** How a call goes on after one of its attempts has ended. */
export interface NextStep {
  /** The caller has its whole answer. */
  readonly finished?: boolean;
  /** The answer that has begun can't be completed. */
  readonly broken?: boolean;
  readonly retry?: boolean;
  readonly error?: EgretError;
  /** Result to be recorded for the claim. */
  readonly settle?: ClaimOutcome;
}

/** Collaborators of {@link AttemptOutcomes}. */
export interface AttemptOutcomesOptions {
  readonly context: EntryContext;
  readonly onSuspicion: (call: CallRecord, attempt: Attempt, confirmed: boolean) => void;
}

const SERVER_ERROR_STATUS = 500;

/** Two failures within this time are a sign that the backend server is cold again. */
const COLD_SIGN_WINDOW_MS = 500;

/** A latency of so many own estimates after a failure is a sign of coldness. */
const COLD_LATENCY_RATIO = 4;

type Handler = (record: CallRecord, attempt: Attempt, event: AttemptEndedEvent) => NextStep;

/** What the caller is told when no retry is possible. */
export function lastError(record: CallRecord, event: AttemptEndedEvent): EgretError {
  if (record.maybeRun) {
    const detail = 'The connection ended before an answer; the request may have run.';
    return new EgretError(ErrorKind.OutcomeUnknown, detail);
  }
  if (event.peerRefusal) return event.peerRefusal;
  const detail = 'Every attempted backend server refused or was unreachable.';
  return new EgretError(ErrorKind.NoBackend, detail);
}

/** Learns from the end of each attempt and decides how its call goes on. */
export class AttemptOutcomes {
  constructor(private readonly options: AttemptOutcomesOptions) {}

  /** Handles one ended attempt by its result. */
  decide(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    return this.handlers[event.result](record, attempt, event);
  }

  private readonly handlers: Record<AttemptResult, Handler> = {
    [AttemptResult.Completed]: (record, attempt, event) => this.onCompleted(record, attempt, event),
    [AttemptResult.Shed]: (record, attempt, event) => {
      if (attempt.record) this.learnFailure(record, attempt.record);
      return this.retryNotRun(record, attempt, event);
    },
    [AttemptResult.NotSent]: (record, attempt, event) => {
      this.learnUnreachable(record, attempt);
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
      if (!failed) this.learnSuccess(record, attempt, backend);
    }
    return { finished: true, settle: ClaimOutcome.Answered };
  }

  private learnSuccess(record: CallRecord, attempt: Attempt, backend: BackendRecord): void {
    const { nowMs } = this.options.context;
    const latencyMs = nowMs - attempt.startedAtMs;
    const { pool } = record;
    const jumped = backend.latencyMs > 0 && latencyMs > backend.latencyMs * COLD_LATENCY_RATIO;
    if (jumped && nowMs - backend.failedAtMs < COLD_SIGN_WINDOW_MS) backend.limit.onColdSign();
    else backend.limit.onSuccess();
    backend.recordLatency(latencyMs, pool.latency.medianMs, nowMs);
    pool.latency.record(latencyMs);
    if (attempt.suspect) pool.quarantine.clear(record.call.fingerprint);
  }

  /** A shed answer or a broken connection lowers the limit; two in a row mean coldness. */
  private learnFailure(record: CallRecord, backend: BackendRecord): void {
    const { nowMs } = this.options.context;
    const again = nowMs - backend.failedAtMs < COLD_SIGN_WINDOW_MS;
    backend.recordFailure(true, nowMs);
    record.pool.recordFailure(true);
    if (again) backend.limit.onColdSign();
    else backend.limit.onOverload();
  }

  private learnUnreachable(record: CallRecord, attempt: Attempt): void {
    const { context } = this.options;
    const backend = attempt.record;
    if (!backend) return;
    backend.limit.onColdSign();
    backend.backOff(context.nowMs);
    backend.failedAtMs = context.nowMs;
    context.emit({ type: EntryEffectType.CloseTarget, targetId: backend.id });
    this.options.onSuspicion(record, attempt, true);
  }

  /** The request did not run: it may be sent elsewhere within the retry budget. */
  private retryNotRun(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    if (record.attempts.size > 0 || record.phase === CallPhase.Answered) {
      return record.phase === CallPhase.Answered ? { settle: ClaimOutcome.NotRun } : {};
    }
    if (this.mayRetry(record)) return { retry: true };
    return {
      error: lastError(record, event),
      settle: record.maybeRun ? ClaimOutcome.Unknown : ClaimOutcome.NotRun,
    };
  }

  private onReset(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    if (attempt.record) {
      this.learnFailure(record, attempt.record);
      this.options.onSuspicion(record, attempt, false);
    }
    if (attempt.cancelled) return { settle: ClaimOutcome.Unknown };
    record.maybeRun = true;
    if (record.attempts.size > 0 || record.phase === CallPhase.Answered) {
      return { settle: ClaimOutcome.Unknown };
    }
    if (record.idempotent && this.mayRetry(record)) return { retry: true };
    return { error: lastError(record, event), settle: ClaimOutcome.Unknown };
  }

  private onTruncated(record: CallRecord, attempt: Attempt, event: AttemptEndedEvent): NextStep {
    const { context } = this.options;
    if (attempt.record) this.learnFailure(record, attempt.record);
    if (attempt.cancelled || record.phase === CallPhase.Answered) {
      return { settle: ClaimOutcome.Unknown };
    }
    const resumable = event.resume !== null && record.idempotent;
    if (resumable && this.mayRetry(record)) {
      context.count(CounterName.Resumes, record.call.service);
      return { retry: true };
    }
    return { broken: true, settle: ClaimOutcome.Unknown };
  }

  private mayRetry(record: CallRecord): boolean {
    const { context } = this.options;
    if (!record.call.replayable || record.attemptsMade >= MAX_ATTEMPTS) return false;
    if (context.nowMs >= record.deadlineMs && record.answeringId === null) return false;
    return record.pool.retryBudget.tryTake(context.nowMs);
  }
}
