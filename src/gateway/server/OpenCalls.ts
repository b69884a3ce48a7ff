import { EgretError, ErrorKind } from '../../common/Errors.js';
import { DispatchOutcomeType, NoPickReason, type DecisionLog } from '../DispatchTypes.js';
import { RETRY_AFTER_STOPPING_MS, type StopSchedule } from '../StopSchedule.js';
import type { AnswerWriter } from './AnswerWriter.js';
import { PeerAnswer } from './ForwardMark.js';
import type { GatewayMetrics } from './GatewayMetrics.js';
import type { OpenCall } from './OpenCall.js';

/** Options of {@link OpenCalls}. */
export interface OpenCallsOptions {
  readonly answers: Pick<AnswerWriter, 'refuse'>;
  readonly metrics: Pick<GatewayMetrics, 'noteCall'>;
  readonly nowMs: () => number;
  readonly log: DecisionLog;
  /** Schedule of the planned stop; undefined before one, omitted if the host never stops. */
  readonly stopSchedule?: () => StopSchedule | undefined;
}

/** Calls whose answers are not yet sent completely, and what a planned stop does with them. */
export class OpenCalls {
  private readonly calls = new Set<OpenCall>();

  constructor(private readonly options: OpenCallsOptions) {}

  get size(): number {
    return this.calls.size;
  }

  add(call: OpenCall): void {
    this.calls.add(call);
  }

  delete(call: OpenCall): void {
    this.calls.delete(call);
  }

  /** False once a planned stop leaves too little time for a call; it then stays false. */
  mayBeSent({ limit }: OpenCall): boolean {
    const schedule = this.options.stopSchedule?.();
    if (!schedule || !limit) return true;
    const nowMs = this.options.nowMs();
    const limitMs = limit.endsAtMs - nowMs;
    return schedule.maySend(nowMs, { limitMs, isRepeatable: limit.isRepeatable });
  }

  /**
   * True if a call may go on; otherwise it has been refused, now or while it waited.
   *
   * @example
   * if (!openCalls.admit(call)) return;
   */
  admit(call: OpenCall): boolean {
    const { response } = call;
    if (!response.headersSent && this.mayBeSent(call)) return true;
    if (!response.headersSent) this.refuse(call);
    // The rest of the body has to be read, since the caller reads the answer once it has sent it.
    response.req.resume();
    return false;
  }

  /** Refuses the calls that have not run and that a planned stop leaves too little time for. */
  refuseLate(): void {
    [...this.calls].forEach((call) => {
      if (call.response.headersSent || call.mayHaveRun || this.mayBeSent(call)) return;
      this.refuse(call);
    });
  }

  /** Answers all calls without an answer, at the end of a planned stop. */
  end(): void {
    [...this.calls].forEach((call) => {
      if (call.response.headersSent) return;
      if (call.mayHaveRun) this.endAtWork(call);
      else this.refuse(call);
    });
  }

  /**
   * Ends a call whose client has closed its sending side and seems to have left: its attempts are
   * cancelled, and it is answered in case the client still reads.
   */
  endLeft(call: OpenCall): void {
    const { metrics, nowMs, log, answers } = this.options;
    const { callId, limit, response, mayHaveRun } = call;
    const elapsedMs = limit ? nowMs() - limit.arrivedAtMs : undefined;
    log('call_abandoned', { call: callId, route: limit?.route, elapsedMs });
    if (limit) metrics.noteCall(limit.route, DispatchOutcomeType.Abandoned, elapsedMs ?? 0);
    const kind = mayHaveRun ? ErrorKind.OutcomeUnknown : ErrorKind.Overloaded;
    const error = new EgretError(kind, 'The client has closed its side.');
    answers.refuse(response, callId, error, PeerAnswer.Final);
    call.abandon();
  }

  /** Answers a call that a backend server has not answered within its time limit or the stop. */
  private endAtWork(call: OpenCall): void {
    const { callId, response } = call;
    const reason = 'the host stops';
    this.options.log('call_timed_out', { call: callId, reason });
    const error = new EgretError(ErrorKind.DeadlineExceeded, `${reason}.`);
    this.options.answers.refuse(response, callId, error, PeerAnswer.Final);
    call.abandon();
  }

  /** Refuses a call that has not run and, as too little time is left, never will. */
  private refuse(call: OpenCall): void {
    const { metrics, nowMs, log, answers } = this.options;
    const { callId, limit, response } = call;
    const retryAfterMs = RETRY_AFTER_STOPPING_MS;
    const elapsedMs = limit ? nowMs() - limit.arrivedAtMs : undefined;
    const route = limit?.route;
    log('call_refused', {
      call: callId,
      route,
      elapsedMs,
      reason: NoPickReason.Stopping,
      retryAfterMs,
    });
    if (route !== undefined) {
      metrics.noteCall(route, DispatchOutcomeType.Refused, elapsedMs ?? 0);
    }
    const detail = 'The host stops before the call could end.';
    const error = new EgretError(ErrorKind.Stopping, detail, { retryAfterMs });
    answers.refuse(response, callId, error, call.wasSent ? PeerAnswer.Final : PeerAnswer.Unsent);
    call.abandon();
  }
}
