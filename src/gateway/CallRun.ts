import type { LogEvent } from '../common/LogEvents.js';
import { RouteKind, type RoutedService } from '../common/routing/Types.js';
import type { BackendView } from './BackendView.js';
import {
  DispatchOutcomeType,
  NoPickReason,
  type SendAttempt,
  type DispatcherOptions,
  type DispatchOutcome,
  type PickInputs,
} from './DispatchTypes.js';
import { EventQueue } from './EventQueue.js';
import {
  AttemptResultType,
  type AttemptHandle,
  type AttemptResult,
  type BackendAnswer,
  type Call,
} from './Types.js';

enum StepType {
  Result = 'result',
  Hedge = 'hedge',
  Due = 'due',
  Abandoned = 'abandoned',
}

type Step =
  | {
      readonly type: StepType.Result;
      readonly view: BackendView;
      readonly result: AttemptResult;
    }
  | { readonly type: Exclude<StepType, StepType.Result> };

/** Attempt under way with what it began with. */
interface RunningAttempt {
  readonly handle: AttemptHandle;
  readonly sentAtMs: number;
  readonly inputs: PickInputs;
}

/** Sends that may be undone without having run, before the call is given up. */
const UNRUN_SENDS_MAX = 4;

/** A second copy is sent once this many usual work times before the objective are left. */
const HEDGE_LEAD_WORK = 1.25;

/** A second copy is sent no earlier than this many expected times after the first. */
const HEDGE_AFTER_EXPECTED = 1.15;

/** An attempt that took this many expected times counts against its backend server. */
const OVERDUE_RATIO = 4;

/** Part of the retry budget that second copies may use; the rest is for calls that failed. */
const SECOND_COPY_BUDGET_SHARE = 0.7;

/** A second copy needs a backend server that works at its usual speed: it may not add a queue. */
const SECOND_COPY_MAX_WORK = 1.5;

/** Backend servers that turn calls away at random may take the next one: come back at once. */
const RETRY_AFTER_SHED_MS = 15;

/** Callers may come back this soon after each kind of refusal. */
const RETRY_AFTER_MS: Record<NoPickReason, number> = {
  [NoPickReason.None]: 500,
  [NoPickReason.Full]: 150,
  [NoPickReason.Cold]: 300,
  [NoPickReason.Silent]: 100,
};

/** One call from its first attempt to its outcome. */
export class CallRun {
  private readonly steps = new EventQueue<Step>();

  private readonly running = new Map<BackendView, RunningAttempt>();

  private readonly tried = new Set<string>();

  /** Attempts that have run, may have run, or may still run. */
  private mayHaveRun = 0;

  private unrun = 0;

  private sends = 0;

  private lastReason = '';

  private lastPick: NoPickReason = NoPickReason.None;

  private readonly cancelTimers: (() => void)[] = [];

  constructor(
    private readonly options: DispatcherOptions,
    private readonly call: Call,
    private readonly service: RoutedService,
    private readonly send: SendAttempt,
    onAbandoned: (abandon: () => void) => void,
  ) {
    onAbandoned(() => this.steps.push({ type: StepType.Abandoned }));
  }

  async run(): Promise<DispatchOutcome> {
    const { options, call } = this;
    options.budget.noteCall(call.service, options.nowMs());
    this.startTimer(call.dueAtMs - options.nowMs(), StepType.Due);
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

  private async loop(): Promise<DispatchOutcome> {
    if (!(await this.launch())) return this.giveUp();
    return this.untilDone();
  }

  private async untilDone(): Promise<DispatchOutcome> {
    const step = await this.steps.next();
    return (await this.take(step)) ?? this.untilDone();
  }

  private async take(step: Step): Promise<DispatchOutcome | undefined> {
    switch (step.type) {
      case StepType.Abandoned:
        return { type: DispatchOutcomeType.Abandoned };
      case StepType.Due:
        return this.onDue();
      case StepType.Hedge:
        await this.hedge();
        return undefined;
      default:
        return this.onResult(step.view, step.result);
    }
  }

  private onDue(): DispatchOutcome {
    this.running.forEach((attempt, view) => {
      view.noteFailure(this.options.nowMs());
      this.log('attempt_overdue', {
        backend: view.record.id,
        elapsedMs: this.options.nowMs() - attempt.sentAtMs,
        ...attempt.inputs,
      });
    });
    if (this.mayHaveRun === 0) return this.giveUp();
    return { type: DispatchOutcomeType.TimedOut, reason: 'no answer within the time allowed' };
  }

  /** Sends a second copy of an idempotent call that is about to miss its objective. */
  private async hedge(): Promise<void> {
    const { options, call } = this;
    if (this.running.size !== 1 || this.mayHaveRun >= call.route.attemptsMax) return;
    const nowMs = options.nowMs();
    if (!options.budget.mayTake(call.service, nowMs, SECOND_COPY_BUDGET_SHARE)) {
      this.log('second_copy_refused', { reason: 'retry budget' });
      return;
    }
    const maxExpectedMs = options.work.workMs(call.service) * SECOND_COPY_MAX_WORK;
    const sent = await this.launch('second copy', maxExpectedMs);
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
    return this.tryAgain();
  }

  private noteFailure(
    view: BackendView,
    result: Exclude<AttemptResult, { type: AttemptResultType.Answer }>,
    attempt: RunningAttempt,
    elapsedMs: number,
  ): void {
    const nowMs = this.options.nowMs();
    this.lastReason = result.reason;
    if (result.type === AttemptResultType.NotRun) {
      this.unrun += 1;
      this.mayHaveRun -= 1;
      if (result.load) view.noteLoad(result.load, nowMs);
      // One that turns calls away although it has free slots is failing, not full.
      if (!result.load || result.load.running < result.load.slots) view.noteFailure(nowMs);
    } else if (result.type === AttemptResultType.NotSent) {
      this.unrun += 1;
      this.mayHaveRun -= 1;
      view.avoid(nowMs);
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
      const bytes = answer.body.length;
      const slowdown = attempt.inputs.slowdown ?? 1;
      options.work.note(call.service, call.route.name, elapsedMs, slowdown, bytes);
      return CallRun.answered(view, answer, attempt);
    }
    view.noteFailure(nowMs);
    this.lastReason = genuine ? `status ${answer.statusCode}` : 'answer without its mark';
    this.logFailure(view, AttemptResultType.Answer, attempt, elapsedMs);
    const more = await this.tryAgain();
    if (more === undefined || !genuine) return more;
    // Nothing better is to be had: the backend server's own failure goes to the caller.
    return CallRun.answered(view, answer, attempt);
  }

  private static answered(
    view: BackendView,
    answer: BackendAnswer,
    { inputs }: RunningAttempt,
  ): DispatchOutcome {
    return { type: DispatchOutcomeType.Answer, answer, backendId: view.record.id, inputs };
  }

  /** The line holds what decided the pick, since lines of picks that went well are sampled. */
  private logFailure(
    view: BackendView,
    outcome: AttemptResultType,
    attempt: RunningAttempt,
    elapsedMs: number,
  ): void {
    this.log('attempt_failed', {
      backend: view.record.id,
      outcome,
      reason: this.lastReason,
      elapsedMs,
      ...attempt.inputs,
    });
  }

  /** Sends the call once more if it may be; otherwise ends it once nothing is under way. */
  private async tryAgain(): Promise<DispatchOutcome | undefined> {
    const { call, options } = this;
    const nowMs = options.nowMs();
    const maySend =
      call.isCallerConnected() &&
      nowMs < call.dueAtMs &&
      this.unrun < UNRUN_SENDS_MAX &&
      this.mayHaveRun < call.route.attemptsMax &&
      (this.isIdempotent || this.mayHaveRun === 0);
    if (this.running.size > 0) return undefined;
    if (maySend && options.budget.tryTake(call.service, nowMs)) {
      if (await this.launch('retry')) return undefined;
    }
    return this.giveUp();
  }

  private giveUp(): DispatchOutcome {
    if (this.mayHaveRun > 0) {
      return { type: DispatchOutcomeType.Failed, reason: this.lastReason };
    }
    const turnedAway = this.sends > 0;
    const retryAfterMs = turnedAway ? RETRY_AFTER_SHED_MS : RETRY_AFTER_MS[this.lastPick];
    const reason = turnedAway ? this.lastReason : this.lastPick;
    return { type: DispatchOutcomeType.Refused, reason, retryAfterMs };
  }

  /** Picks a backend server and sends an attempt; false where none was found. */
  private async launch(cause = 'first', maxExpectedMs = Infinity): Promise<boolean> {
    const { options, call } = this;
    const pick = await options.picker.pick(call, this.service, this.tried);
    if (!pick.view) {
      this.lastPick = pick.reason;
      this.log('no_backend', {
        cause,
        reason: pick.reason,
        probes: pick.probes,
        leftMs: call.dueAtMs - options.nowMs(),
        workMs: options.work.workMs(call.service),
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
    options.cold.note(view, nowMs);
    this.tried.add(view.record.id);
    this.mayHaveRun += 1;
    this.sends += 1;
    view.inFlight += 1;
    view.sentSinceLoad += 1;
    const handle = this.send(view, remainingMs);
    const { expectedMs, probes, loadAgeMs } = pick;
    const { running, waiting, slowdown } = view.load ?? {};
    const inputs = { cause, expectedMs, probes, loadAgeMs, running, waiting, slowdown };
    this.running.set(view, { handle, sentAtMs: nowMs, inputs });
    this.log('attempt_sent', {
      backend: view.record.id,
      service: call.service,
      zone: view.record.availabilityZone,
      remainingMs,
      ...inputs,
    });
    handle.result.then(
      (result) => this.steps.push({ type: StepType.Result, view, result }),
      (error: unknown) => {
        const reason = String(error);
        const result = { type: AttemptResultType.Unknown, reason } as const;
        this.steps.push({ type: StepType.Result, view, result });
      },
    );
    if (cause === 'first' && this.isIdempotent && call.route.attemptsMax > 1) {
      this.scheduleHedge(nowMs, pick.expectedMs);
    }
    return true;
  }

  private scheduleHedge(nowMs: number, expectedMs: number): void {
    const { options, call } = this;
    const leadMs = options.work.workMs(call.service) * HEDGE_LEAD_WORK;
    const earliestMs = expectedMs * HEDGE_AFTER_EXPECTED;
    this.startTimer(Math.max(earliestMs, call.objectiveAtMs - leadMs - nowMs), StepType.Hedge);
  }

  private startTimer(delayMs: number, type: StepType.Hedge | StepType.Due): void {
    const fire = () => this.steps.push({ type });
    this.cancelTimers.push(this.options.setTimer(Math.max(0, delayMs), fire));
  }

  /** Ends an attempt that is no longer needed. */
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
