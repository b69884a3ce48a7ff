import type { LogEvent } from '../common/LogEvents.js';
import { RouteKind, type RoutedService } from '../common/routing/Types.js';
import type { BackendView } from './BackendView.js';
import {
  DispatchOutcomeType,
  NoPickReason,
  type SendAttempt,
  type DispatcherOptions,
  type DispatchOutcome,
  type PickResult,
} from './DispatchTypes.js';
import { CallEventType, type CallEvent, type RunningAttempt } from './CallEvents.js';
import { EventQueue } from './EventQueue.js';
import { RETRY_AFTER_STOPPING_MS } from './StopSchedule.js';
import {
  AttemptResultType,
  type AttemptHandle,
  type AttemptResult,
  type BackendAnswer,
  type Call,
} from './Types.js';

/** A call is not sent again after this many attempts that ended without having run. */
const NOT_RUN_ATTEMPTS_MAX = 4;

/** A hedged attempt is sent when this many usual work times are left to the objective. */
const HEDGE_LEAD_WORK = 1.25;

/** A hedged attempt is sent no earlier than this many expected times after the first. */
const HEDGE_AFTER_EXPECTED = 1.15;

/** A cancelled attempt that took longer than this many expected times counts as a failure. */
const OVERDUE_RATIO = 4;

/** Share of the retry budget that hedged attempts may use; the rest is for failed calls. */
const HEDGE_BUDGET_SHARE = 0.7;

/** Maximum expected time of a hedged attempt, in usual work times: usual speed and no queue. */
const HEDGE_MAX_WORK = 1.5;

/** Caller's retry delay after attempts: a backend server that rejects at random may accept it. */
const RETRY_AFTER_REJECTED_MS = 15;

/** Caller's retry delays for calls that were never sent, by the reason of the refusal. */
const RETRY_AFTER_MS: Record<NoPickReason, number> = {
  [NoPickReason.NoBackend]: 500,
  [NoPickReason.Overloaded]: 150,
  [NoPickReason.Cold]: 300,
  [NoPickReason.Limited]: 300,
  [NoPickReason.Unreachable]: 100,
  [NoPickReason.Stopping]: RETRY_AFTER_STOPPING_MS,
  // The routing in force leads the call elsewhere at once.
  [NoPickReason.Rerouted]: 15,
};

/** One call from its first attempt to its outcome. */
export class CallRun {
  private readonly events = new EventQueue<CallEvent>();

  private readonly running = new Map<BackendView, RunningAttempt>();

  private readonly tried = new Set<string>();

  /** Number of attempts that have run, may have run, or may still run. */
  private mayHaveRunCount = 0;

  private notRunCount = 0;

  private sentCount = 0;

  private lastFailureReason = '';

  private lastNoPickReason: NoPickReason = NoPickReason.NoBackend;

  /** Retry delay of the last pick without a backend server, if it named one. */
  private pickRetryAfterMs: number | undefined;

  private readonly cancelTimers: (() => void)[] = [];

  constructor(
    private readonly options: DispatcherOptions,
    private readonly call: Call,
    private readonly service: RoutedService,
    private readonly send: SendAttempt,
    onAbandoned: (abandon: () => void) => void,
  ) {
    onAbandoned(() => this.events.push({ type: CallEventType.Abandoned }));
  }

  async run(): Promise<DispatchOutcome> {
    const { options, call } = this;
    if (!call.isCounted) options.budget.noteCall(call.service, options.nowMs());
    this.startTimer(call.dueAtMs - options.nowMs(), CallEventType.Deadline);
    try {
      return await this.loop();
    } finally {
      this.cancelTimers.forEach((cancel) => cancel());
      this.running.forEach((attempt, view) => this.cancel(attempt, view));
    }
  }

  private get isIdempotent(): boolean {
    return this.call.route.kind !== RouteKind.NonIdempotent;
  }

  /** True once a planned stop leaves too little time for a further attempt. */
  private get isStopped(): boolean {
    return this.call.mayBeSent?.() === false;
  }

  private noteStopped(): false {
    this.lastNoPickReason = NoPickReason.Stopping;
    this.pickRetryAfterMs = undefined;
    return false;
  }

  private async loop(): Promise<DispatchOutcome> {
    if (!(await this.startAttempt())) return this.failOrRefuse();
    return this.processEvents();
  }

  private async processEvents(): Promise<DispatchOutcome> {
    const event = await this.events.next();
    return (await this.handle(event)) ?? this.processEvents();
  }

  private async handle(event: CallEvent): Promise<DispatchOutcome | undefined> {
    switch (event.type) {
      case CallEventType.Abandoned:
        return { type: DispatchOutcomeType.Abandoned };
      case CallEventType.Deadline:
        return this.onDeadline();
      case CallEventType.Hedge:
        await this.hedge();
        return undefined;
      default:
        return this.onResult(event.view, event.result);
    }
  }

  private onDeadline(): DispatchOutcome {
    this.running.forEach((attempt, view) => {
      view.noteFailure(this.options.nowMs());
      this.log('attempt_overdue', {
        backend: view.record.id,
        elapsedMs: this.options.nowMs() - attempt.sentAtMs,
        ...attempt.inputs,
      });
    });
    if (this.mayHaveRunCount === 0) return this.failOrRefuse();
    return { type: DispatchOutcomeType.TimedOut, reason: 'no answer within the time allowed' };
  }

  /** Sends a hedged attempt of an idempotent call that is about to miss its objective. */
  private async hedge(): Promise<void> {
    const { options, call } = this;
    if (this.running.size !== 1 || this.mayHaveRunCount >= call.route.attemptsMax) return;
    if (!this.isRouted) {
      this.log('second_copy_refused', { reason: NoPickReason.Rerouted });
      return;
    }
    const nowMs = options.nowMs();
    if (!options.budget.maySpend(call.service, nowMs, HEDGE_BUDGET_SHARE)) {
      this.log('second_copy_refused', { reason: 'retry budget' });
      return;
    }
    const maxExpectedMs = options.work.workMs(call) * HEDGE_MAX_WORK;
    const sent = await this.startAttempt('second copy', maxExpectedMs);
    if (sent) options.budget.spend(call.service, options.nowMs());
  }

  private async onResult(
    view: BackendView,
    result: AttemptResult,
  ): Promise<DispatchOutcome | undefined> {
    const attempt = this.running.get(view);
    if (!attempt) return undefined;
    this.running.delete(view);
    view.inFlight -= 1;
    const elapsedMs = this.options.nowMs() - attempt.sentAtMs;
    if (result.type === AttemptResultType.Answer) {
      return this.onAnswer(view, result.answer, attempt, elapsedMs);
    }
    this.noteFailure(view, result, attempt, elapsedMs);
    return this.retryOrFinish();
  }

  private noteFailure(
    view: BackendView,
    result: Exclude<AttemptResult, { type: AttemptResultType.Answer }>,
    attempt: RunningAttempt,
    elapsedMs: number,
  ): void {
    const nowMs = this.options.nowMs();
    this.lastFailureReason = result.reason;
    if (result.type === AttemptResultType.NotRun) {
      this.notRunCount += 1;
      this.mayHaveRunCount -= 1;
      if (result.load) view.noteLoad(result.load, nowMs);
      // A backend server that rejects calls while it has free slots is failing, not full.
      if (!result.load || result.load.running < result.load.slots) view.noteFailure(nowMs);
    } else if (result.type === AttemptResultType.NotSent) {
      this.notRunCount += 1;
      this.mayHaveRunCount -= 1;
      view.startBackoff(nowMs);
    } else {
      view.noteFailure(nowMs);
      if (result.type === AttemptResultType.Unknown) {
        this.options.crashes.noteConnectionLost(view, this.call.fingerprint);
      }
    }
    this.logFailure(view, result.type, attempt, elapsedMs);
  }

  private async onAnswer(
    view: BackendView,
    answer: BackendAnswer,
    attempt: RunningAttempt,
    elapsedMs: number,
  ): Promise<DispatchOutcome | undefined> {
    const { options, call } = this;
    const nowMs = options.nowMs();
    if (answer.load) view.noteLoad(answer.load, nowMs);
    const genuine = answer.statusCode >= 300 || answer.authentic;
    if (answer.statusCode < 500 && genuine) {
      view.noteSuccess();
      options.crashes.noteCompleted(call.fingerprint);
      options.work.note(call, {
        elapsedMs,
        slowdown: attempt.inputs.slowdown ?? 1,
        filledSlots: attempt.filledSlots,
        bytes: answer.receivedBytes,
      });
      return CallRun.toOutcome(view, answer, attempt);
    }
    view.noteFailure(nowMs);
    this.lastFailureReason = genuine ? `status ${answer.statusCode}` : 'answer without its mark';
    this.logFailure(view, AttemptResultType.Answer, attempt, elapsedMs);
    const retryOutcome = await this.retryOrFinish();
    if (retryOutcome === undefined || !genuine) {
      answer.longBody?.cancel();
      return retryOutcome;
    }
    // No further attempt is possible: the backend server's error answer goes to the caller.
    return CallRun.toOutcome(view, answer, attempt);
  }

  private static toOutcome(
    view: BackendView,
    answer: BackendAnswer,
    { inputs }: RunningAttempt,
  ): DispatchOutcome {
    return { type: DispatchOutcomeType.Answer, answer, backendId: view.record.id, inputs };
  }

  /** Includes the inputs of the pick, since the log lines of successful picks are sampled. */
  private logFailure(
    view: BackendView,
    outcome: AttemptResultType,
    attempt: RunningAttempt,
    elapsedMs: number,
  ): void {
    this.log('attempt_failed', {
      backend: view.record.id,
      outcome,
      reason: this.lastFailureReason,
      elapsedMs,
      ...attempt.inputs,
    });
  }

  /** Sends the call again if allowed; otherwise ends it once no attempt is in progress. */
  private async retryOrFinish(): Promise<DispatchOutcome | undefined> {
    const { call, options } = this;
    const nowMs = options.nowMs();
    const maySend =
      call.isCallerConnected() &&
      !this.isStopped &&
      this.isRouted &&
      !call.isBodyStreamed &&
      nowMs < call.dueAtMs &&
      this.notRunCount < NOT_RUN_ATTEMPTS_MAX &&
      this.mayHaveRunCount < call.route.attemptsMax &&
      (this.isIdempotent || this.mayHaveRunCount === 0);
    if (this.running.size > 0) return undefined;
    if (maySend && options.budget.trySpend(call.service, nowMs)) {
      if (await this.startAttempt('retry')) return undefined;
    }
    return this.failOrRefuse();
  }

  private failOrRefuse(): DispatchOutcome {
    if (this.mayHaveRunCount > 0) {
      const attempts = this.mayHaveRunCount;
      return { type: DispatchOutcomeType.Failed, reason: this.lastFailureReason, attempts };
    }
    const wasSent = this.sentCount > 0;
    const unsentMs = this.pickRetryAfterMs ?? RETRY_AFTER_MS[this.lastNoPickReason];
    const retryAfterMs = wasSent ? RETRY_AFTER_REJECTED_MS : unsentMs;
    const reason = wasSent ? this.lastFailureReason : this.lastNoPickReason;
    const attempts = this.sentCount;
    return { type: DispatchOutcomeType.Refused, reason, retryAfterMs, attempts };
  }

  private get isRouted(): boolean {
    return this.call.isRouted?.() !== false;
  }

  /** Picks a backend server while the routing leads to its service, before the pick and after it. */
  private async pick(): Promise<PickResult> {
    const rerouted = { view: null, reason: NoPickReason.Rerouted, probes: 0, loads: '' } as const;
    if (!this.isRouted) return rerouted;
    const result = await this.options.picker.pick(this.call, this.service, this.tried);
    return this.isRouted ? result : { ...rerouted, probes: result.probes };
  }

  /** Picks a backend server and sends an attempt; returns false if none was sent. */
  private async startAttempt(cause = 'first', maxExpectedMs = Infinity): Promise<boolean> {
    const { options, call } = this;
    if (this.isStopped) return this.noteStopped();
    const pick = await this.pick();
    if (this.isStopped) return this.noteStopped();
    if (!pick.view) {
      this.lastNoPickReason = pick.reason;
      this.pickRetryAfterMs = pick.retryAfterMs;
      this.log('no_backend', {
        cause,
        reason: pick.reason,
        probes: pick.probes,
        leftMs: call.dueAtMs - options.nowMs(),
        workMs: options.work.workMs(call),
        loads: pick.loads,
      });
      return false;
    }
    const { view } = pick;
    if (pick.expectedMs > maxExpectedMs) {
      this.log('second_copy_refused', { reason: 'no free backend', expectedMs: pick.expectedMs });
      return false;
    }
    const nowMs = options.nowMs();
    const remainingMs = Math.floor(call.dueAtMs - nowMs);
    if (!call.isCallerConnected() || remainingMs <= 0) return false;
    options.cold.noteSent(view, nowMs);
    this.tried.add(view.record.id);
    this.mayHaveRunCount += 1;
    this.sentCount += 1;
    const filledSlots = view.isNearlyFull;
    view.inFlight += 1;
    view.sentSinceLoad += 1;
    const handle = this.trySend(view, remainingMs);
    options.observe?.(call, view, handle);
    const { expectedMs, probes, loadAgeMs } = pick;
    const { running, waiting, slowdown } = view.load ?? {};
    const inputs = { cause, expectedMs, probes, loadAgeMs, running, waiting, slowdown };
    this.running.set(view, { handle, sentAtMs: nowMs, inputs, filledSlots });
    this.log('attempt_sent', {
      backend: view.record.id,
      service: call.service,
      routing: call.routingVersion,
      routingState: call.routingState,
      zone: view.record.availabilityZone,
      remainingMs,
      ...inputs,
    });
    handle.result.then(
      (result) => this.events.push({ type: CallEventType.Result, view, result }),
      (error: unknown) => {
        const reason = String(error);
        const result = { type: AttemptResultType.Unknown, reason } as const;
        this.events.push({ type: CallEventType.Result, view, result });
      },
    );
    if (cause === 'first' && this.isIdempotent && call.route.attemptsMax > 1) {
      this.scheduleHedge(nowMs, pick.expectedMs);
    }
    return true;
  }

  /** Sends an attempt; one that can't be created ends like one whose connection was lost. */
  private trySend(view: BackendView, remainingMs: number): AttemptHandle {
    try {
      return this.send(view, remainingMs);
    } catch (error) {
      const reason = String(error);
      this.log('call_crashed', { backend: view.record.id, detail: reason });
      const result = { type: AttemptResultType.Unknown, reason } as const;
      return { result: Promise.resolve(result), cancel: () => {} };
    }
  }

  private scheduleHedge(nowMs: number, expectedMs: number): void {
    const { options, call } = this;
    const leadMs = options.work.workMs(call) * HEDGE_LEAD_WORK;
    const earliestMs = expectedMs * HEDGE_AFTER_EXPECTED;
    this.startTimer(Math.max(earliestMs, call.objectiveAtMs - leadMs - nowMs), CallEventType.Hedge);
  }

  private startTimer(delayMs: number, type: CallEventType.Hedge | CallEventType.Deadline): void {
    const fire = () => this.events.push({ type });
    this.cancelTimers.push(this.options.setTimer(Math.max(0, delayMs), fire));
  }

  /** Cancels an attempt that is no longer needed. */
  private cancel(attempt: RunningAttempt, view: BackendView): void {
    const elapsedMs = this.options.nowMs() - attempt.sentAtMs;
    view.inFlight -= 1;
    if (elapsedMs > attempt.inputs.expectedMs * OVERDUE_RATIO)
      view.noteFailure(this.options.nowMs());
    attempt.handle.cancel();
  }

  private log(
    event: LogEvent,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
  ): void {
    this.options.log(event, { call: this.call.callId, route: this.call.route.name, ...fields });
  }
}
