import { Outcome } from '../common/Enums.js';
import { EgretError, ErrorKind } from '../common/Errors.js';
import { ClaimOutcome, type ReplayAnswer } from '../common/Messages.js';
import type { ClaimFlow } from './ClaimFlow.js';
import { CallPhase, type Attempt, type CallRecord } from './dispatch/CallRecord.js';
import type { EntryContext } from './EntryContext.js';
import { CounterName, EntryEffectType, type ArrivedCall } from './Types.js';

/** Dependencies of {@link CallAnswers}. */
export interface CallAnswersOptions {
  readonly context: EntryContext;
  readonly claims: ClaimFlow;
  /** Removes a call whose phase is Answered and whose attempts have ended. */
  readonly removeIfDone: (record: CallRecord) => void;
}

/** Answers, refuses or aborts calls, and settles their claims. */
export class CallAnswers {
  constructor(private readonly options: CallAnswersOptions) {}

  /** Completes a call whose caller has received the whole answer of one attempt. */
  finish(record: CallRecord): void {
    record.phase = CallPhase.Answered;
    record.attempts.forEach((attempt) => this.cancelAttempt(record, attempt));
  }

  /** Aborts an answer that has begun, so that the caller can detect that it is incomplete. */
  abortAnswer(record: CallRecord): void {
    record.phase = CallPhase.Answered;
    this.options.context.emit({ type: EntryEffectType.AbortAnswer, callId: record.call.callId });
  }

  /** Sends the recorded answer of an earlier call with the same idempotency key. */
  replay(record: CallRecord, answer: ReplayAnswer): void {
    const { callId } = record.call;
    record.claimId = null;
    record.phase = CallPhase.Answered;
    this.options.context.emit({ type: EntryEffectType.ReplayCall, callId, answer });
    this.options.removeIfDone(record);
  }

  /** Refuses a call; an answer that has begun is aborted instead. */
  refuse(record: CallRecord, error: EgretError): void {
    if (record.phase === CallPhase.Answered) return;
    if (record.answeringId !== null) {
      this.abortAnswer(record);
      this.options.removeIfDone(record);
      return;
    }
    record.phase = CallPhase.Answered;
    const { context } = this.options;
    const { callId, service } = record.call;
    // An earlier attempt of the same call may have run even if the last one did not.
    const reported =
      record.mayHaveRun && error.outcome === Outcome.NotRun
        ? new EgretError(ErrorKind.OutcomeUnknown, error.detail)
        : error;
    context.count(CounterName.Refusals, service);
    context.emit({ type: EntryEffectType.RefuseCall, callId, error: reported });
    this.options.removeIfDone(record);
  }

  /** Refuses a call, and frees its claim if no attempt may have run. */
  refuseNotRun(record: CallRecord, error: EgretError): void {
    if (!record.mayHaveRun) this.settle(record, ClaimOutcome.NotRun, null);
    this.refuse(record, error);
  }

  /** Refuses a call whose claim was not granted. */
  refuseClaim(record: CallRecord, kind: ErrorKind, detail: string): void {
    record.claimId = null;
    this.refuse(record, new EgretError(kind, detail));
  }

  /** Refuses a call that was not admitted. */
  refuseOnArrival(call: ArrivedCall, kind: ErrorKind, detail: string): void {
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
