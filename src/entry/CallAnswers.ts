import { Outcome } from '../common/Enums.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { ClaimOutcome, type ReplayAnswer } from '../common/Messages.js';
import type { ClaimFlow } from './ClaimFlow.js';
import { CallPhase, type Attempt, type CallRecord } from './dispatch/CallRecord.js';
import type { EntryContext } from './EntryContext.js';
import { CounterName, EntryEffectType, type ArrivedCall } from './Types.js';

/** Collaborators of {@link CallAnswers}. */
export interface CallAnswersOptions {
  readonly context: EntryContext;
  readonly claims: ClaimFlow;
  /** Drops a call whose caller has its answer and whose attempts have ended. */
  readonly forgetIfDone: (record: CallRecord) => void;
}

/** Ways in which a call ends for its caller, and what becomes of its claim. */
export class CallAnswers {
  constructor(private readonly options: CallAnswersOptions) {}

  /** The caller has the whole answer of one attempt. */
  finish(record: CallRecord): void {
    record.phase = CallPhase.Answered;
    record.attempts.forEach((attempt) => this.cancelAttempt(record, attempt));
  }

  /** Ends an answer that has begun, visibly incomplete. */
  breakCall(record: CallRecord): void {
    record.phase = CallPhase.Answered;
    this.options.context.emit({ type: EntryEffectType.AbortAnswer, callId: record.call.callId });
  }

  /** Sends the recorded answer of an earlier sending. */
  replay(record: CallRecord, answer: ReplayAnswer): void {
    const { callId } = record.call;
    record.claimId = null;
    record.phase = CallPhase.Answered;
    this.options.context.emit({ type: EntryEffectType.ReplayCall, callId, answer });
    this.options.forgetIfDone(record);
  }

  /** Refuses a call; an answer that has begun is broken instead. */
  refuse(record: CallRecord, error: EgretError): void {
    if (record.phase === CallPhase.Answered) return;
    if (record.answeringId !== null) {
      this.breakCall(record);
      this.options.forgetIfDone(record);
      return;
    }
    record.phase = CallPhase.Answered;
    const { context } = this.options;
    const { callId, service } = record.call;
    // An earlier attempt of the same call may have run, whatever the last one says.
    const honest =
      record.maybeRun && error.outcome === Outcome.NotRun
        ? new EgretError(ErrorKind.OutcomeUnknown, error.detail)
        : error;
    context.count(CounterName.Refusals, service);
    context.emit({ type: EntryEffectType.RefuseCall, callId, error: honest });
    this.options.forgetIfDone(record);
  }

  /** Refuses a call that no attempt has run, and frees its claim. */
  refuseNotRun(record: CallRecord, error: EgretError): void {
    if (!record.maybeRun) this.settle(record, ClaimOutcome.NotRun, null);
    this.refuse(record, error);
  }

  /** Refuses a call whose claim was not granted. */
  refuseClaim(record: CallRecord, kind: ErrorKind, detail: string): void {
    record.claimId = null;
    this.refuse(record, new EgretError(kind, detail));
  }

  /** Refuses a call that was not taken in. */
  refuseArrived(call: ArrivedCall, kind: ErrorKind, detail: string): void {
    const { context } = this.options;
    context.count(CounterName.Refusals, call.service);
    const error = new EgretError(kind, detail);
    context.emit({ type: EntryEffectType.RefuseCall, callId: call.callId, error });
  }

  /** Records the result of a claimed call. */
  settle(record: CallRecord, outcome: ClaimOutcome, answer: ReplayAnswer | null): void {
    if (record.claimId === null) return;
    this.options.claims.settle(record, outcome, answer);
    record.claimId = null;
  }

  cancelAttempt(record: CallRecord, attempt: Attempt): void {
    if (attempt.cancelled) return;
    attempt.cancelled = true;
    this.options.context.emit({
      type: EntryEffectType.CancelAttempt,
      callId: record.call.callId,
      attemptId: attempt.attemptId,
    });
  }

  /** Cancels every attempt that still runs. */
  cancelAll(record: CallRecord): void {
    record.attempts.forEach((attempt) => this.cancelAttempt(record, attempt));
  }
}
